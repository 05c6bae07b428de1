#include "config/store.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace indigosaddle::config {
namespace {

using nlohmann::json;

constexpr std::string_view kMagic = "indigosaddle generations 1 ";
constexpr std::size_t kMaxFileBytes = std::size_t{256} * 1024;
constexpr std::size_t kDiskDivisor = 16;  // one file takes at most this part of the disk
constexpr std::size_t kFiles = 3;         // the file, its successor while it is written, one set aside
constexpr std::size_t kBlockBytes = 512;  // the state folder's size is counted in whole blocks

std::size_t MaxFileBytes(std::size_t disk_bytes) {
  return std::min(kMaxFileBytes, disk_bytes / kDiskDivisor);
}

// The text of the file: a line with magic and hash, then a line of JSON. The generations in
// `without_document` are written without their documents.
std::string Serialize(const History& history, const std::set<std::uint64_t>& without_document) {
  json all = json::array();
  for (const Generation& generation : history.generations) {
    all.push_back({{"number", generation.number},
                   {"author", generation.author},
                   {"reason", generation.reason},
                   {"at", generation.staged_at.count()},
                   {"result", std::string(NameOf(generation.result))},
                   {"why", generation.result_reason},
                   {"deaths", generation.crashes_on_trial},
                   {"document", without_document.contains(generation.number) ? "" : generation.document}});
  }
  const json whole = {{"kept", history.kept},
                      {"on_trial", history.on_trial},
                      {"seen_file", history.seen_file},
                      {"stopped", history.planned_stop},
                      {"generations", all}};
  const std::string body = whole.dump(-1, ' ', false, json::error_handler_t::replace);
  return fmt::format("{}{}\n{}\n", kMagic, HashHex(body), body);
}

// Returns false where the text is damaged; `history` may then be filled in part.
bool Parse(std::string_view text, History& history) {
  const std::size_t line_end = text.find('\n');
  if (line_end == std::string_view::npos || !text.starts_with(kMagic) || !text.ends_with('\n')) return false;
  const std::string_view body = text.substr(line_end + 1, text.size() - line_end - 2);
  if (text.substr(kMagic.size(), line_end - kMagic.size()) != HashHex(body)) return false;
  try {
    const json whole = json::parse(body);
    history.kept = whole.at("kept");
    history.on_trial = whole.at("on_trial");
    history.seen_file = whole.at("seen_file");
    history.planned_stop = whole.at("stopped");
    for (const json& saved : whole.at("generations")) {
      Generation generation;
      generation.number = saved.at("number");
      generation.author = saved.at("author");
      generation.reason = saved.at("reason");
      generation.staged_at = Micros(saved.at("at").get<std::int64_t>());
      generation.result_reason = saved.at("why");
      generation.crashes_on_trial = saved.at("deaths");
      generation.document = saved.at("document");
      const std::string result = saved.at("result");
      generation.result = result == NameOf(GenerationResult::kKept)      ? GenerationResult::kKept
                          : result == NameOf(GenerationResult::kOnTrial) ? GenerationResult::kOnTrial
                                                                         : GenerationResult::kUndone;
      history.generations.push_back(std::move(generation));
    }
  } catch (const json::exception&) {
    return false;
  }
  return history.kept == 0 || history.Find(history.kept) != nullptr;
}

}  // namespace

std::size_t MaxStoreBytes(std::size_t disk_bytes) {
  return kFiles * (MaxFileBytes(disk_bytes) + kBlockBytes);
}

std::string HashHex(std::string_view text) {
  return fmt::format("{:016x}", XXH3_64bits(text.data(), text.size()));
}

json HistoryAsJson(const History& history) {
  json all = json::array();
  for (const Generation& generation : history.generations) {
    all.push_back({{"generation", generation.number},
                   {"author", generation.author},
                   {"reason", generation.reason},
                   {"at_ms", generation.staged_at.count() / 1000},
                   {"result", std::string(NameOf(generation.result))},
                   {"why", generation.result_reason}});
  }
  return all;
}

Store::Store(const std::string& folder, std::size_t disk_bytes, std::function<void(const char*)> on_step)
    : path_(folder + "/generations"),
      max_bytes_(MaxFileBytes(disk_bytes)),
      on_step_(on_step ? std::move(on_step) : [](const char*) {}) {}

bool Store::Load(History& history, std::string& error, bool set_aside) const {
  history = {};
  std::ifstream file(path_, std::ios::binary);
  if (!file) return true;
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() <= kMaxFileBytes && Parse(text, history)) return true;
  history = {};
  error = path_ + " is damaged";
  if (set_aside) {
    const std::string aside = path_ + ".damaged";
    error += std::rename(path_.c_str(), aside.c_str()) == 0 ? ", set aside as " + aside
                                                            : " and can't be set aside";
  }
  return false;
}

bool Store::Save(const History& history, std::string& error) const {
  std::set<std::uint64_t> without_document;
  std::string text = Serialize(history, without_document);
  for (const Generation& generation : history.generations) {
    if (text.size() <= max_bytes_) break;
    if (generation.number == history.kept || generation.result == GenerationResult::kOnTrial) continue;
    without_document.insert(generation.number);
    text = Serialize(history, without_document);
  }
  if (text.size() > max_bytes_) {
    error = fmt::format("the generations take {} bytes, more than the {} that the state folder allows",
                        text.size(), max_bytes_);
    return false;
  }
  const std::string next_path = path_ + ".new";
  on_step_("config.save.open");
  const int file = open(next_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  bool ok = file >= 0;
  const std::size_t half = text.size() / 2;
  for (std::size_t done = 0; ok && done < text.size();) {
    const std::size_t until = done < half ? half : text.size();
    const ssize_t written = write(file, text.data() + done, until - done);
    if (written < 0 && errno == EINTR) continue;
    ok = written > 0;
    if (ok) done += static_cast<std::size_t>(written);
    if (done == half) on_step_("config.save.half");
  }
  on_step_("config.save.written");
  ok = ok && std::rename(next_path.c_str(), path_.c_str()) == 0;
  if (!ok) error = std::strerror(errno);
  if (file >= 0) close(file);
  if (!ok) unlink(next_path.c_str());
  on_step_("config.save.renamed");
  return ok;
}

}  // namespace indigosaddle::config
