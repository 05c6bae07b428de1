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

// Discovery and the receiver of notices at one address.
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

  // An entry of the endpoint list.
  static nlohmann::json Member(const std::string& host, const std::string& endpoint_address, int destination,
                               const std::string& health = "Ready") {
    return {{"host", host},         {"dial", endpoint_address}, {"site", "z"},  {"class", "m"},
            {"block", destination}, {"health", health},         {"share", 1.0}, {"born_ms", 0}};
  }
  // Adds a member or replaces the one of the same host, and sends the change to all watches.
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
  // While down, requests to discovery are not answered and watches get no more lines.
  void Down(bool down) {
    const std::lock_guard lock(mutex_);
    down_ = down;
    changed_.notify_all();
  }
  // Closes all open watches.
  void EndWatches() {
    const std::lock_guard lock(mutex_);
    ++generation_;
    changed_.notify_all();
  }
  // Answers requests to discovery with `status` from now on; 200 serves them normally.
  void SetListStatus(int status) { list_status_ = status; }
  int refused_lists() const { return refused_lists_; }
  // Answers notices with `status` from now on; 204 accepts them normally.
  void SetNoticeStatus(int status) { notice_status_ = status; }
  // Called for each accepted post of notices to write an answer instead of the plain 204; returning false
  // closes the connection.
  void AnswerNoticesWith(std::function<bool(Socket&)> answer) { notice_answer_ = std::move(answer); }
  // Called with the number of each post from 1. Returning false closes its connection without recording it.
  void ReadNoticesIf(std::function<bool(int)> should_read) { should_read_notices_ = std::move(should_read); }
  // Called after each line of changes that is written on a watch, to write more on its connection.
  void AfterWatchLines(std::function<void(Socket&, const std::string& chunk)> after_line) {
    const std::lock_guard lock(mutex_);
    after_watch_lines_ = std::move(after_line);
  }
  // The next `posts` posts of notices are read but neither recorded nor answered.
  void IgnoreNotices(int posts) { ignored_notices_ = posts; }
  std::map<std::string, std::vector<nlohmann::json>> notices() {
    const std::lock_guard lock(mutex_);
    return notices_;
  }
  // When the first notice of a message was received; empty if none was.
  std::optional<Clock::time_point> FirstNoticeAt(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto it = first_notice_at_.find(id);
    return it == first_notice_at_.end() ? std::nullopt : std::optional(it->second);
  }
  // Numbers since the start: watches opened, complete lists sent, posts of notices received.
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

  void RecordNotices(const std::string& body) {
    std::istringstream lines(body);
    const std::lock_guard lock(mutex_);
    for (std::string line; std::getline(lines, line);) {
      const auto notice = nlohmann::json::parse(line);
      notices_[notice["id"]].push_back(notice);
      first_notice_at_.try_emplace(notice["id"], Clock::now());
    }
  }

  bool Serve(Socket& socket, const HttpRequest& request) {
    if (request.line.starts_with("POST /v1/notices ")) {
      const int post = ++notice_posts_;
      if (should_read_notices_ && !should_read_notices_(post)) return false;
      if (ignored_notices_ > 0) return --ignored_notices_, true;
      if (notice_status_ != 204) return socket.Write(Answer(notice_status_));
      RecordNotices(request.body);
      return notice_answer_ ? notice_answer_(socket) : socket.Write("HTTP/1.1 204 No Content\r\n\r\n");
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
    std::uint64_t sent_version = std::stoull(request.line.substr(from + 5));
    const int generation = generation_;
    if (!socket.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return false;
    bool first = true;
    while (!closing_ && generation == generation_) {
      nlohmann::json new_changes = nlohmann::json::array();
      for (const auto& [version, member] : changes_) {
        if (version > sent_version) new_changes.push_back(member);
      }
      if (!down_ && (first || !new_changes.empty())) {
        sent_version = version_;
        first = false;
        const std::string chunk = Chunk(Lines(false, version_, new_changes));
        if (!socket.Write(chunk)) return false;
        if (after_watch_lines_) after_watch_lines_(socket, chunk);
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
  std::map<std::string, Clock::time_point> first_notice_at_;
  std::function<bool(Socket&)> notice_answer_;
  std::function<bool(int)> should_read_notices_;
  std::function<void(Socket&, const std::string&)> after_watch_lines_;
  bool down_ = false;
  int generation_ = 0;
  std::atomic<bool> closing_{false};
  std::atomic<int> watches_{0}, whole_lists_{0}, notice_posts_{0}, notice_status_{204}, list_status_{200},
      refused_lists_{0}, ignored_notices_{0};
  HttpServer server_;
};

}  // namespace indigosaddle::testing
