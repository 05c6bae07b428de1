#include "net/member_list.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/address.h"
#include "net/json_once.h"

namespace indigosaddle::net {
namespace {

using nlohmann::json;

constexpr double kMostShare = 1e9;  // calls a second: more is no rate

std::string Text(const json& entry, const char* name) {
  const auto it = entry.find(name);
  return it != entry.end() && it->is_string() ? it->get<std::string>() : std::string();
}

// It goes on as a header's value.
bool IsHost(const std::string& text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

// Zero where it is not told: the least that a destination may be taken to bear.
double ReadShare(const json& entry) {
  const auto share = entry.find("share");
  if (share == entry.end() || !share->is_number()) return 0;
  const double told = share->get<double>();
  return told > 0 && told <= kMostShare ? told : 0;
}

std::optional<Health> ReadHealth(const json& entry) {
  const std::string text = Text(entry, "health");
  if (text == "Ready") return Health::kReady;
  if (text == "Terminating") return Health::kTerminating;
  if (text == "Gone") return Health::kGone;
  return std::nullopt;
}

// Empty where the entry is good, else what is wrong with it; the host is set wherever it names one.
std::string ReadMember(const json& entry, Member& member) {
  if (!entry.is_object()) return "not an object";
  std::string host = Text(entry, "host");
  if (host.empty()) return "no host";
  if (!IsHost(host)) return "a host that is not visible ASCII";
  member.host = std::move(host);
  if (entry.contains(kTwice)) return "a part given twice";
  member.dial = Text(entry, "dial");
  member.site = Text(entry, "site");
  member.kind = Text(entry, "class");
  member.share = ReadShare(entry);
  const auto block = entry.find("block");
  if (block == entry.end() || !block->is_number_integer() || (!block->is_number_unsigned() && *block < 0)) {
    return "no block";
  }
  member.block = block->get<std::uint64_t>();
  const std::optional<Health> health = ReadHealth(entry);
  if (!health) return "unknown health";
  member.health = *health;
  sockaddr_storage address{};
  if (member.health != Health::kGone && !ParseAddress(member.dial, address)) return "no address to dial";
  return {};
}

// A list's entries, one after the other: a host is a member where all that names it agrees on where it is.
class Entries {
 public:
  void Take(const json& entry) {
    Member member;
    std::string trouble = ReadMember(entry, member);
    if (member.host.empty()) {
      news_.incomplete = true;  // whichever endpoint it meant
      return Skip("an entry", trouble);
    }
    const auto [at, first] = places_.try_emplace(member.host, news_.members.size());
    if (!trouble.empty()) {
      Skip(member.host, trouble);
      return Doubt(at->second, member.host);
    }
    if (first) return news_.members.push_back(std::move(member));
    Skip(member.host, "named twice");
    if (at->second != kUnsure) Join(at->second, member);
  }

  MemberNews Done() {
    std::erase_if(news_.members, [this](const Member& m) { return places_.at(m.host) == kUnsure; });
    return std::move(news_);
  }

 private:
  static constexpr std::size_t kUnsure = std::numeric_limits<std::size_t>::max();

  void Skip(const std::string& which, const std::string& trouble) {
    news_.skipped.push_back(fmt::format("{}: {}", which, trouble));
  }

  void Doubt(std::size_t& place, const std::string& host) {
    if (std::exchange(place, kUnsure) != kUnsure) news_.unsure.push_back(host);
    news_.incomplete = true;
  }

  // Of two entries that differ in what the endpoint is, neither holds; of two states, the careful one.
  void Join(std::size_t& place, const Member& again) {
    Member& first = news_.members[place];
    if (first.dial != again.dial || first.site != again.site || first.kind != again.kind ||
        first.block != again.block) {
      return Doubt(place, again.host);
    }
    news_.incomplete |= first.health != again.health;
    first.health = std::max(first.health, again.health);
    first.share = std::min(first.share, again.share);
  }

  MemberNews news_;
  std::map<std::string, std::size_t> places_;  // among the members
};

}  // namespace

std::optional<MemberNews> ParseMembers(std::string_view text) {
  const json whole = ParseOnce(text);
  if (!whole.is_object() || whole.contains(kTwice)) return std::nullopt;
  const auto version = whole.find("seq"), full = whole.find("whole"), hosts = whole.find("hosts");
  if (version == whole.end() || !version->is_number_unsigned()) return std::nullopt;
  if (full == whole.end() || !full->is_boolean()) return std::nullopt;
  if (hosts == whole.end() || !hosts->is_array()) return std::nullopt;
  Entries entries;
  for (const json& entry : *hosts) entries.Take(entry);
  MemberNews news = entries.Done();
  news.version = version->get<std::uint64_t>();
  news.whole = full->get<bool>();
  return news;
}

void Nesting::Take(std::string_view bytes) {
  for (const char c : bytes) {
    if (std::exchange(escaped_, false)) continue;
    if (c == '"') {
      in_string_ = !in_string_;
    } else if (in_string_) {
      escaped_ = c == '\\';
    } else {
      depth_ += (c == '{') - (c == '}');
    }
  }
}

}  // namespace indigosaddle::net
