// The program's command line: one source file for each subcommand. Results go to standard output, messages
// for people to standard error. The exit status is an ExitStatus.
#pragma once

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "node/config.h"

namespace indigosaddle::cli {

// Exit status of the program. kBadInput: an argument or a file is wrong; kProblemFound: a check found a
// problem.
enum class ExitStatus { kDone = 0, kFailed = 1, kBadInput = 2, kProblemFound = 3 };

// Ends a command with an exit status and a message for standard error. An empty message: it was printed
// already.
class CommandError : public std::runtime_error {
 public:
  CommandError(ExitStatus status, const std::string& text) : std::runtime_error(text), status_(status) {}
  ExitStatus status() const { return status_; }

 private:
  ExitStatus status_;
};

// Each function adds one subcommand to `parent` or `config`. The subcommand runs while CLI11 parses the
// arguments, and may throw CommandError.
void AddServe(CLI::App& parent);
// Also adds the seven subcommands of `config` below.
void AddConfig(CLI::App& parent);
void AddConfigCheck(CLI::App& config);
void AddConfigShow(CLI::App& config);
void AddConfigSchema(CLI::App& config);
void AddConfigDiff(CLI::App& config);
void AddConfigApply(CLI::App& config);
void AddConfigHistory(CLI::App& config);
void AddConfigRollback(CLI::App& config);
void AddJournal(CLI::App& parent);
void AddStatus(CLI::App& parent);
void AddDocs(CLI::App& parent);

// Runs the node until a signal stops it. `file` is the operator's file; empty: none. `kill_at` is for tests:
// the process ends by SIGKILL at the step of that name; empty: never. Throws CommandError.
void Serve(const std::string& file, const std::string& kill_at);

// ---- Shared by the commands -------------------------------------------------------------------------------

// Reads a whole file. Throws CommandError(kBadInput) if it can't be read.
std::string ReadFileText(const std::string& path);

// The configuration of a file with the environment's EDGE_ variables applied. A file whose name ends in .json
// is the platform's, any other is the operator's TOML. Throws CommandError(kBadInput) with all faults, one
// per line.
node::Config LoadConfig(const std::string& file);

// Options that say how to reach a running node: its control socket (--socket), or the operator's file that
// names the state folder and the socket (--config). Without them, EDGE_STATE is the state folder and the
// socket has its usual name.
struct ControlTarget {
  std::string socket;
  std::string file;
  void AddOptionsTo(CLI::App& command);
  // The path of the control socket. Throws CommandError(kBadInput) if neither an option nor EDGE_STATE says
  // which node to ask, or if the operator's file can't be used or names no socket.
  std::string SocketPath() const;
};

// Sends one request to the running node and returns its answer, a JSON object. Throws CommandError if the
// node can't be reached or does not answer in time.
nlohmann::json SendRequest(const std::string& socket, const nlohmann::json& request);

// Name of the user who runs the command.
std::string CurrentUser();
// UTC date and time, of milliseconds since 1970.
std::string FormatTime(std::int64_t millis);

}  // namespace indigosaddle::cli
