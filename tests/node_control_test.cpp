// The control socket and the commands of the built program: hostile clients, other users, a log that no
// process reads, and exit statuses.
#include <gtest/gtest.h>

#include <random>

#include "changes.h"

namespace indigosaddle::testing {
namespace {

TEST_F(ChangesTest, HostileControlClientsDoNotAffectDelivery) {
  ListSettler();
  ASSERT_TRUE(node.Start());
  ControlStandIn partial(node);  // never completes its line
  partial.socket().Write("{\"op\":");
  std::list<ControlStandIn> connections;
  for (int i = 0; i < 50; ++i) {
    connections.emplace_back(node);
    connections.back().socket().Write("{}");
  }
  EXPECT_TRUE(Logged("reason=\"too many connections\""));
  connections.clear();
  Json answer;
  ASSERT_TRUE(Eventually([&] {
    ControlStandIn huge(node);
    const std::string line(10'000'000, 'x');
    huge.socket().Write(line);
    answer = Json::parse(huge.socket().Read(), nullptr, false);
    return answer.is_object() || node.log().find("a request that is too long") != std::string::npos;
  }));
  ControlStandIn flood(node);
  std::string many;
  for (int i = 0; i < 20000; ++i) many += "{\"op\":\"show\"}\n";
  std::thread writer([&] { flood.socket().Write(many); });  // the client reads no answer
  Settle();
  EXPECT_EQ(Enqueue("served", "c=safe,d=60000,dest=99"), "+OK");
  EXPECT_TRUE(Eventually([&] { return ControlStandIn(node).Ask({{"op", "status"}}).is_object(); }));
  writer.join();
  for (const char* line :
       {"[]\n", "rubbish\n", "{\"op\":5}\n", "{\"op\":\"apply\",\"document\":5}\n", "\n"}) {
    const Json reply = ControlStandIn(node).AskLine(line);
    ASSERT_TRUE(reply.is_object()) << line;
    EXPECT_FALSE(reply.at("ok").get<bool>()) << line;
  }
  EXPECT_EQ(std::filesystem::status(node.folder + "/state/control.sock").permissions(),
            std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
  EXPECT_FALSE(node.Ended());
}

// Clients such as `printf ... | nc -U` half-close after their requests: each request is answered before the
// node closes the connection.
TEST_F(ChangesTest, ClientThatHalfClosesGetsItsAnswers) {
  ASSERT_TRUE(node.Start());
  const std::size_t one = ControlStandIn(node).Ask({{"op", "show"}}).dump().size();
  const auto many =
      static_cast<std::ptrdiff_t>(600'000 / one);  // more than the kernel buffers for the client
  ControlStandIn peer(node);
  std::string requests;
  for (std::ptrdiff_t i = 0; i < many; ++i) requests += "{\"op\":\"show\"}\n";
  ASSERT_TRUE(peer.socket().Write(requests));
  shutdown(peer.socket().get(), SHUT_WR);
  ASSERT_TRUE(Eventually([&] { return ControlStandIn(node).Ask({{"op", "status"}}).is_object(); }));
  std::string answers;
  for (std::string received = peer.socket().Read(); !received.empty(); received = peer.socket().Read())
    answers += received;
  EXPECT_EQ(std::count(answers.begin(), answers.end(), '\n'), many);
}

TEST_F(ChangesTest, AnotherUserIsRejectedByItsCredentials) {
  if (geteuid() != 0) GTEST_SKIP() << "only root can be another user";
  ListSettler();
  ASSERT_TRUE(node.Start());
  // The credentials decide even where the modes of the folder and the socket would admit the user.
  std::filesystem::permissions(node.folder, std::filesystem::perms::all);
  std::filesystem::permissions(node.folder + "/state", std::filesystem::perms::all);
  std::filesystem::permissions(node.folder + "/state/control.sock", std::filesystem::perms::all);
  // The stand-ins' threads keep running in the parent, so the child must not take a lock that one of them
  // could hold, such as the allocator's: it only makes system calls after the fork.
  const sockaddr_un address = ControlStandIn::AddressOf(node);
  const pid_t child = fork();
  if (child == 0) {
    if (setgid(65534) != 0 || setuid(65534) != 0) _exit(2);
    const int other = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(other, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) _exit(3);
    constexpr std::string_view kRequest = "{\"op\":\"status\"}\n";
    send(other, kRequest.data(), kRequest.size(), MSG_NOSIGNAL);  // the connection may be closed already
    pollfd wait{other, POLLIN, 0};
    char byte = 0;
    _exit(poll(&wait, 1, static_cast<int>(kWaitLimit.count())) == 1 && recv(other, &byte, 1, 0) <= 0 ? 0 : 1);
  }
  int status = 0;
  ASSERT_EQ(waitpid(child, &status, 0), child);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << "wait status " << status;
  EXPECT_TRUE(Logged("control.refused uid=65534 reason=\"another user\""));
  EXPECT_TRUE(ControlStandIn(node).Ask({{"op", "status"}}).at("ok").get<bool>());
}

TEST_F(ChangesTest, UnreadLogDoesNotBlockTheNode) {
  ListSettler();
  node.toml = Toml({{"level", "\"debug\""}}, "");
  int pipe_ends[2] = {-1, -1};
  ASSERT_EQ(pipe(pipe_ends), 0);
  const int port_file = open((node.folder + "/port").c_str(), O_CREAT | O_RDWR, 0600);
  // A first start, whose log is read, yields a port that the next start uses.
  ASSERT_TRUE(node.Start());
  const std::string listen = "\"127.0.0.1:" + std::to_string(node.port) + "\"";
  node.Kill(SIGTERM);
  close(port_file);
  node.toml = Toml({{"level", "\"debug\""}, {"listen", listen}});
  node.log_descriptor = pipe_ends[1];
  const int port = node.port;
  std::thread starter([&] { node.Start(); });  // it finds no line to wait for and ends with the process
  ASSERT_TRUE(
      Eventually([&] { return ClientStandIn(port).Ask(ClientStandIn::Command({"PING"})) == "+PONG"; }));
  ASSERT_TRUE(Eventually([&] {
    return ClientStandIn(port).Ask(ClientStandIn::Enqueue("first", "c=safe,d=60000,dest=99")) == "+OK";
  }));
  ClientStandIn client(port);
  int accepted = 0;
  for (int i = 0; i < 1500; ++i) {  // one or two log lines each: more than a pipe holds
    accepted +=
        client.Ask(ClientStandIn::Enqueue("m" + std::to_string(i), "c=safe,d=60000,dest=99")) == "+OK";
  }
  EXPECT_GT(accepted, 0);
  const Json status = ControlStandIn(node).Ask({{"op", "status"}});
  EXPECT_TRUE(status.at("ok").get<bool>());
  EXPECT_TRUE(Eventually([&] {
    return ControlStandIn(node).Ask({{"op", "status"}})["messages"]["open"] == 0;
  }));
  const Json last = ControlStandIn(node).Ask({{"op", "status"}})["messages"];
  EXPECT_EQ(last["taken"], accepted + 1);
  EXPECT_EQ(last["delivered"], accepted + 1);  // no message is lost
  node.Signal(SIGTERM);
  starter.join();
  EXPECT_EQ(node.Wait(), 0);
  close(pipe_ends[0]);
  close(pipe_ends[1]);
}

TEST_F(ChangesTest, CommandsReportFaultsByTheirExitStatus) {
  ListSettler();
  ASSERT_TRUE(node.Start());
  node.WriteToml(Toml({{"call_slots", "-1"}}));
  const std::string file = node.folder + "/node.toml";
  const std::vector<std::tuple<std::string, int, std::string>> table = {
      {"--version", 0, "indigosaddle "},
      {"--help", 0, "Examples:"},
      {"config check --help", 0, "Example:"},
      {"nonsense", 2, ""},
      {"config check " + file, 2, "delivery.call_slots: -1; expected a whole number"},
      {"config check " + file + " --json", 2, "\"ok\":false"},
      {"config check /no/such.toml", 2, "is no file"},
      {"config apply " + file, 2, "delivery.call_slots"},
      {"config rollback", 1, "no generation before"},
      {"config rollback --to 77", 1, "generation 77 is not kept"},
      {"config history", 0, "the file at the start"},
      {"config history --state " + node.folder + "/state --json", 0, "\"generation\": 1"},
      {"config schema", 0, "\"$schema\""},
      {"config show --running", 0, "delivery.call_slots"},
      {"status", 0, "generation 1"},
      {"status", 0, "s, ready\n"},
      {"status", 0, "class safe: 0 completed, 0 rejected, 0 failed\n"},
      {"status --socket /no/such", 1, "does the node run"},
      {"journal verify " + node.folder + "/state", 0, "messages owed"},
      {"journal inspect " + node.folder + "/state --json", 0, "["},
      {"journal verify /no/such", 2, "can't be read"},
  };
  for (const auto& [command, status, expected_text] : table) {
    const auto [exit_status, text] = node.Command(command);
    EXPECT_EQ(exit_status, status) << command << "\n" << text;
    EXPECT_NE(text.find(expected_text), std::string::npos) << command << "\n" << text;
  }
  node.WriteToml(Toml({{"call_slots", "3"}}));
  EXPECT_NE(node.Command("config diff " + file).second.find("delivery.call_slots: 8 -> 3"),
            std::string::npos);
  const auto [exit_status, text] = node.Command("config apply " + file + " --reason because --follow");
  EXPECT_EQ(exit_status, 0) << text;
  EXPECT_NE(text.find("generation 2 kept: only"), std::string::npos) << text;  // for lack of traffic
}

TEST_F(ChangesTest, DamagedJournalIsReportedByItsByteAndLeftUnchanged) {
  EndpointStandIn slow([](Socket& socket, const HttpRequest&, int) { return Hang(socket); });
  platform.Set(PlatformStandIn::Member("slow", slow.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("a", "c=unsafe,d=60000,dest=7"));
  ASSERT_TRUE(Eventually([&] { return slow.CallsFor("a") == 1; }));
  node.Kill(SIGKILL);
  EXPECT_NE(node.Command("journal inspect " + node.folder + "/state").second.find("owed, call out"),
            std::string::npos);
  const std::string path = node.folder + "/state/journal";
  std::ofstream(path, std::ios::app) << "torn";
  const auto size = std::filesystem::file_size(path);
  const auto [status, text] = node.Command("journal verify " + node.folder + "/state");
  EXPECT_EQ(status, 3);
  EXPECT_NE(text.find("at byte " + std::to_string(size - 4)), std::string::npos) << text;
  EXPECT_EQ(std::filesystem::file_size(path), size);
}

}  // namespace
}  // namespace indigosaddle::testing
