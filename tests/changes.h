// Changes of the configuration at the built program, in a test's hands: the control socket and the files.
#pragma once

#include <gtest/gtest.h>
#include <sys/un.h>

#include <random>

#include "stand_ins.h"

namespace indigosaddle::testing {

using Json = nlohmann::json;

// Asks the control socket as any program would.
class ControlStandIn {
 public:
  static sockaddr_un AddressOf(const NodeProcess& node) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    const std::string path = node.folder + "/state/control.sock";
    std::copy(path.begin(), path.end(), at.sun_path);
    return at;
  }

  explicit ControlStandIn(const NodeProcess& node) {
    const sockaddr_un at = AddressOf(node);
    const int descriptor = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    socket_ = Socket(descriptor);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) socket_.Close();
  }
  Socket& socket() { return socket_; }
  Json Ask(const Json& request) { return AskText(request.dump() + "\n"); }
  Json AskText(const std::string& line) {
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

class ChangesTest : public NodeTest {
 protected:
  ChangesTest() { node.toml = Toml(); }

  // Values by name replace those of the file.
  std::string Toml(const std::map<std::string, std::string>& values = {},
                   const std::string& more = "") const {
    std::map<std::string, std::string> v = {
        {"call_slots", "8"}, {"holding_room", "100"}, {"max_attempts", "12"}, {"senders", "1"},
        {"aim", "\"1s\""},   {"trial", "\"1s\""},     {"level", "\"info\""},  {"listen", "\"127.0.0.1:0\""}};
    for (const auto& [name, value] : values) v[name] = value;
    return "[node]\nname = \"n0\"\nlisten = " + v["listen"] + "\ndiscovery = \"" + platform.address() +
           "\"\n[limits]\ndisk = \"3MB\"\n[delivery]\nsenders = " + v["senders"] +
           "\ncall_slots = " + v["call_slots"] + "\nholding_room = " + v["holding_room"] +
           "\nmax_attempts = " + v["max_attempts"] +
           "\nmax_retry_after = \"2s\"\nconnect_timeout = \"1500ms\"\nidle_close = \"15s\"\nzone = \"z\"\n" +
           "[[classes]]\nname = \"keyed\"\neffect = \"keyed\"\ngroup = \"all\"\nkey_ttl = \"60s\"\naim = " +
           v["aim"] +
           "\ndeadline = \"60s\"\nworth = 1\n[[classes]]\nname = \"safe\"\neffect = \"safe\"\naim = "
           "\"1s\"\n" +
           "deadline = \"60s\"\nworth = 1\n[[classes]]\nname = \"unsafe\"\neffect = \"unsafe\"\naim = "
           "\"1s\"\n" +
           "deadline = \"60s\"\nworth = 1\n[[kinds]]\nname = \"m\"\n[[zones]]\nname = \"z\"\n[log]\nlevel "
           "= " +
           v["level"] + "\n[control]\nsocket = \"control.sock\"\n[change]\ntrial = " + v["trial"] +
           "\nbefore = \"10s\"\n" + more;
  }
  Json Apply(const std::string& document, bool wait = false) {
    return ControlStandIn(node).Ask(
        {{"op", "apply"}, {"document", document}, {"author", "test"}, {"wait", wait}});
  }
  std::string Running() { return ControlStandIn(node).Ask({{"op", "show"}}).dump(); }
  Json Last() { return ControlStandIn(node).Ask({{"op", "history"}}).at("generations").back(); }
  bool Becomes(const std::string& result) {
    return Eventually([&] { return Last().at("result") == result; });
  }
  std::string Value(const std::string& path) {
    const Json shown = ControlStandIn(node).Ask({{"op", "show"}});
    for (const Json& one : shown.at("values")) {
      if (one.at("path") == path) return one.at("value");
    }
    return "";
  }
  bool Logged(const std::string& text) {
    return Eventually([&] { return node.log().find(text) != std::string::npos; });
  }
};

}  // namespace indigosaddle::testing
