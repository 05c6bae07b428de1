// Discovery and the platform's notices on loopback.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "http_stand_ins.h"

namespace indigosaddle::testing {

// Discovery and the platform's notices at one address.
class PlatformStandIn {
 public:
  PlatformStandIn()
      : server_([this](Socket& socket, const HttpRequest& request) { return Serve(socket, request); }) {}
  ~PlatformStandIn() {
    Down(false);
    closing_ = true;
    changed_.notify_all();
    server_.Stop();
  }

  static nlohmann::json Member(const std::string& host, const std::string& dial, int block,
                               const std::string& health = "Ready") {
    return {{"host", host},   {"dial", dial},     {"site", "z"},  {"class", "m"},
            {"block", block}, {"health", health}, {"share", 1.0}, {"born_ms", 0}};
  }
  void Set(const nlohmann::json& member) {
    const std::lock_guard lock(mutex_);
    ++version_;
    for (nlohmann::json& old : members_) {
      if (old["host"] == member["host"]) old = member;
    }
    if (std::none_of(members_.begin(), members_.end(),
                     [&](const auto& m) { return m["host"] == member["host"]; })) {
      members_.push_back(member);
    }
    changes_.emplace_back(version_, member);
    changed_.notify_all();
  }
  void Down(bool down) {
    const std::lock_guard lock(mutex_);
    down_ = down;
    changed_.notify_all();
  }
  void EndWatches() {
    const std::lock_guard lock(mutex_);
    ++generation_;
    changed_.notify_all();
  }
  void RefuseLists(int status) { list_status_ = status; }  // 200: no more
  int refused_lists() const { return refused_lists_; }
  void RefuseNotices(int status) { notice_status_ = status; }
  // Instead of the plain 204: says what it says on the connection; false ends the connection.
  void AnswerNotices(std::function<bool(Socket&)> answer) { answer_notices_ = std::move(answer); }
  // Whether the n-th post is read at all; else its connection ends unread.
  void ReadNotices(std::function<bool(int)> reads) { reads_notices_ = std::move(reads); }
  // What else is said on a watch's connection behind a line.
  void BehindLines(std::function<void(Socket&, const std::string& chunk)> says) {
    const std::lock_guard lock(mutex_);
    behind_lines_ = std::move(says);
  }
  void IgnoreNotices(int posts) { ignored_notices_ = posts; }  // the next ones are read and never answered
  std::map<std::string, std::vector<nlohmann::json>> notices() {
    const std::lock_guard lock(mutex_);
    return notices_;
  }
  // When a message's first notice came; nothing: none did.
  std::optional<Clock::time_point> ToldAt(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto it = told_at_.find(id);
    return it == told_at_.end() ? std::nullopt : std::optional(it->second);
  }
  int watches() const { return watches_; }
  int whole_lists() const { return whole_lists_; }
  int notice_posts() const { return notice_posts_; }
  std::string address() const { return server_.address(); }

 private:
  std::string Lines(bool whole, std::uint64_t version, const nlohmann::json& hosts) const {
    return nlohmann::json{{"seq", version}, {"whole", whole}, {"hosts", hosts}}.dump() + "\n";
  }
  static std::string Chunk(const std::string& text) {
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
  }

  void TakeNotices(const std::string& body) {
    std::istringstream lines(body);
    const std::lock_guard lock(mutex_);
    for (std::string line; std::getline(lines, line);) {
      const auto notice = nlohmann::json::parse(line);
      notices_[notice["id"]].push_back(notice);
      told_at_.try_emplace(notice["id"], Clock::now());
    }
  }

  bool Serve(Socket& socket, const HttpRequest& request) {
    if (request.line.starts_with("POST /v1/notices ")) {
      const int post = ++notice_posts_;
      if (reads_notices_ && !reads_notices_(post)) return false;
      if (ignored_notices_ > 0) return --ignored_notices_, true;
      if (notice_status_ != 204) return socket.Write(Answer(notice_status_));
      TakeNotices(request.body);
      return answer_notices_ ? answer_notices_(socket) : socket.Write("HTTP/1.1 204 No Content\r\n\r\n");
    }
    if (list_status_ != 200) {
      ++refused_lists_;
      return socket.Write(Answer(list_status_));
    }
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return !down_ || closing_; });
    const std::size_t from = request.line.find("from=");
    if (from == std::string::npos) {
      ++whole_lists_;
      const std::string body = Lines(true, version_, members_);
      return socket.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                          body);
    }
    ++watches_;
    std::uint64_t seen = std::stoull(request.line.substr(from + 5));
    const int generation = generation_;
    if (!socket.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return false;
    bool first = true;
    while (!closing_ && generation == generation_) {
      nlohmann::json news = nlohmann::json::array();
      for (const auto& [version, member] : changes_) {
        if (version > seen) news.push_back(member);
      }
      if (!down_ && (first || !news.empty())) {
        seen = version_;
        first = false;
        const std::string chunk = Chunk(Lines(false, version_, news));
        if (!socket.Write(chunk)) return false;
        if (behind_lines_) behind_lines_(socket, chunk);
      } else if (!down_ && !socket.Write(Chunk("\n"))) {
        return false;
      }
      changed_.wait_for(lock, std::chrono::milliseconds(500));
    }
    return false;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t version_ = 1;
  nlohmann::json members_ = nlohmann::json::array();
  std::vector<std::pair<std::uint64_t, nlohmann::json>> changes_;
  std::map<std::string, std::vector<nlohmann::json>> notices_;
  std::map<std::string, Clock::time_point> told_at_;
  std::function<bool(Socket&)> answer_notices_;
  std::function<bool(int)> reads_notices_;
  std::function<void(Socket&, const std::string&)> behind_lines_;
  bool down_ = false;
  int generation_ = 0;
  std::atomic<bool> closing_{false};
  std::atomic<int> watches_{0}, whole_lists_{0}, notice_posts_{0}, notice_status_{204}, list_status_{200},
      refused_lists_{0}, ignored_notices_{0};
  HttpServer server_;
};

}  // namespace indigosaddle::testing
