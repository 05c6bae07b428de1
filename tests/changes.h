// Test support for configuration changes of the built program: a client of the control socket, and a fixture
// that writes operator files (TOML) and queries the running configuration.
#pragma once

#include <gtest/gtest.h>
#include <sys/un.h>

#include <random>

#include "stand_ins.h"

namespace indigosaddle::testing {

using Json = nlohmann::json;

// A client of a node's control socket. Owns its connection.
class ControlStandIn {
 public:
  static sockaddr_un AddressOf(const NodeProcess& node) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    const std::string path = node.folder + "/state/control.sock";
    std::copy(path.begin(), path.end(), address.sun_path);
    return address;
  }

  explicit ControlStandIn(const NodeProcess& node) {
    const sockaddr_un address = AddressOf(node);
    const int descriptor = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    socket_ = Socket(descriptor);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
      socket_.Close();
  }
  Socket& socket() { return socket_; }
  // Sends one request and returns the answer; null where the connection failed or ended.
  Json Ask(const Json& request) { return AskLine(request.dump() + "\n"); }
  // Sends `line`, which may hold any text and must end in a newline, and returns the answer as Ask does.
  Json AskLine(const std::string& line) {
    if (!socket_.Write(line)) return {};
    std::string text;
    while (text.find('\n') == std::string::npos) {
      const std::string more = socket_.Read();
      if (more.empty()) return {};
      text += more;
    }
    return Json::parse(text, nullptr, false);
  }

 private:
  Socket socket_;
};

// A node that is configured by an operator's TOML file, with helpers that apply changes and wait for results.
class ChangesTest : public NodeTest {
 protected:
  ChangesTest() { node.toml = Toml(); }

  // The text of an operator's file. `values` replaces defaults by name; `more` is appended.
  std::string Toml(const std::map<std::string, std::string>& values = {},
                   const std::string& more = "") const {
    std::map<std::string, std::string> settings = {
        {"call_slots", "8"}, {"holding_room", "100"}, {"max_attempts", "12"}, {"senders", "1"},
        {"aim", "\"1s\""},   {"trial", "\"1s\""},     {"level", "\"info\""},  {"listen", "\"127.0.0.1:0\""}};
    for (const auto& [name, value] : values) settings[name] = value;
    return "[node]\nname = \"n0\"\nlisten = " + settings["listen"] + "\ndiscovery = \"" + platform.address() +
           "\"\n[limits]\ndisk = \"3MB\"\n[delivery]\nsenders = " + settings["senders"] +
           "\ncall_slots = " + settings["call_slots"] + "\nholding_room = " + settings["holding_room"] +
           "\nmax_attempts = " + settings["max_attempts"] +
           "\nmax_retry_after = \"2s\"\nconnect_timeout = \"1500ms\"\nidle_close = \"15s\"\nzone = \"z\"\n" +
           "[[classes]]\nname = \"keyed\"\neffect = \"keyed\"\ngroup = \"all\"\nkey_ttl = \"60s\"\naim = " +
           settings["aim"] +
           "\ndeadline = \"60s\"\nworth = 1\n[[classes]]\nname = \"safe\"\neffect = \"safe\"\naim = "
           "\"1s\"\n" +
           "deadline = \"60s\"\nworth = 1\n[[classes]]\nname = \"unsafe\"\neffect = \"unsafe\"\naim = "
           "\"1s\"\n" +
           "deadline = \"60s\"\nworth = 1\n[[kinds]]\nname = \"m\"\n[[zones]]\nname = \"z\"\n[log]\nlevel "
           "= " +
           settings["level"] +
           "\n[control]\nsocket = \"control.sock\"\n[change]\ntrial = " + settings["trial"] +
           "\nbefore = \"10s\"\n" + more;
  }
  // Asks the node to apply the document. During the trial of another change it is refused, or with `wait`
  // queued until that trial has ended.
  Json Apply(const std::string& document, bool wait = false) {
    return ControlStandIn(node).Ask(
        {{"op", "apply"}, {"document", document}, {"author", "test"}, {"wait", wait}});
  }
  // The configuration in force.
  std::string RunningConfiguration() { return ControlStandIn(node).Ask({{"op", "show"}}).dump(); }
  // The newest generation of the history.
  Json LastGeneration() { return ControlStandIn(node).Ask({{"op", "history"}}).at("generations").back(); }
  // Waits until the newest generation has this result.
  bool LastResultBecomes(const std::string& result) {
    return Eventually([&] { return LastGeneration().at("result") == result; });
  }
  // The value in force at a path, or an empty string.
  std::string Value(const std::string& path) {
    const Json shown = ControlStandIn(node).Ask({{"op", "show"}});
    for (const Json& entry : shown.at("values")) {
      if (entry.at("path") == path) return entry.at("value");
    }
    return "";
  }
  // Waits until the node's log contains the text.
  bool Logged(const std::string& text) {
    return Eventually([&] { return node.log().find(text) != std::string::npos; });
  }
};

}  // namespace indigosaddle::testing
