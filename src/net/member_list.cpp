#include "net/member_list.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/address.h"
#include "net/json_duplicate_names.h"

namespace indigosaddle::net {
namespace {

using nlohmann::json;

constexpr double kMaxRateLimit = 1e9;  // calls a second; a larger value is not plausible

std::string TextField(const json& entry, const char* name) {
  const auto it = entry.find(name);
  return it != entry.end() && it->is_string() ? it->get<std::string>() : std::string();
}

// Whether the text can be sent as the value of an HTTP header: visible ASCII only.
bool IsHost(const std::string& text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

// Zero if there is no valid value: the least that a destination may be assumed to take.
double ReadRateLimit(const json& entry) {
  const auto rate_limit = entry.find("share");
  if (rate_limit == entry.end() || !rate_limit->is_number()) return 0;
  const double rate = rate_limit->get<double>();
  return rate > 0 && rate <= kMaxRateLimit ? rate : 0;
}

std::optional<ReportedHealth> ReadHealth(const json& entry) {
  const std::string text = TextField(entry, "health");
  if (text == "Ready") return ReportedHealth::kReady;
  if (text == "Terminating") return ReportedHealth::kTerminating;
  if (text == "Gone") return ReportedHealth::kGone;
  return std::nullopt;
}

// Returns what is wrong with the entry; empty if it is valid. Sets the host also where only other parts are
// invalid.
std::string ReadMember(const json& entry, Member& member) {
  if (!entry.is_object()) return "not an object";
  std::string host = TextField(entry, "host");
  if (host.empty()) return "no host";
  if (!IsHost(host)) return "a host that is not visible ASCII";
  member.host = std::move(host);
  if (entry.contains(kDuplicateNameMark)) return "a part given twice";
  member.address = TextField(entry, "dial");
  member.site = TextField(entry, "site");
  member.kind = TextField(entry, "class");
  member.rate_limit = ReadRateLimit(entry);
  const auto destination = entry.find("block");
  if (destination == entry.end() || !destination->is_number_integer() ||
      (!destination->is_number_unsigned() && *destination < 0)) {
    return "no block";
  }
  member.destination = destination->get<std::uint64_t>();
  const std::optional<ReportedHealth> health = ReadHealth(entry);
  if (!health) return "unknown health";
  member.health = *health;
  sockaddr_storage parsed_address{};
  if (member.health != ReportedHealth::kGone && !ParseAddress(member.address, parsed_address))
    return "no address to dial";
  return {};
}

// Builds an update from a list's entries. A host becomes a member only if all entries for it are readable and
// agree on its address, site, kind and destination.
class UpdateBuilder {
 public:
  void Add(const json& entry) {
    Member member;
    std::string error = ReadMember(entry, member);
    if (member.host.empty()) {
      update_.incomplete = true;  // it is not known which endpoint it is about
      return Skip("an entry", error);
    }
    const auto [known, is_new] = indices_.try_emplace(member.host, update_.members.size());
    if (!error.empty()) {
      Skip(member.host, error);
      return MarkUnreadable(known->second, member.host);
    }
    if (is_new) return update_.members.push_back(std::move(member));
    Skip(member.host, "named twice");
    if (known->second != kUnreadable) Merge(known->second, member);
  }

  MemberListUpdate Finish() {
    std::erase_if(update_.members, [this](const Member& m) { return indices_.at(m.host) == kUnreadable; });
    return std::move(update_);
  }

 private:
  static constexpr std::size_t kUnreadable = std::numeric_limits<std::size_t>::max();

  void Skip(const std::string& which, const std::string& error) {
    update_.skipped.push_back(fmt::format("{}: {}", which, error));
  }

  void MarkUnreadable(std::size_t& index, const std::string& host) {
    if (std::exchange(index, kUnreadable) != kUnreadable) update_.unreadable.push_back(host);
    update_.incomplete = true;
  }

  // Merges a second entry of a host. If the entries describe different endpoints, neither is used. Of two
  // health states the worse one counts, and of two rate limits the smaller one.
  void Merge(std::size_t& index, const Member& second) {
    Member& first = update_.members[index];
    if (first.address != second.address || first.site != second.site || first.kind != second.kind ||
        first.destination != second.destination) {
      return MarkUnreadable(index, second.host);
    }
    update_.incomplete |= first.health != second.health;
    first.health = std::max(first.health, second.health);
    first.rate_limit = std::min(first.rate_limit, second.rate_limit);
  }

  MemberListUpdate update_;
  std::map<std::string, std::size_t> indices_;  // of each host in the members
};

}  // namespace

std::optional<MemberListUpdate> ParseMembers(std::string_view text) {
  const json whole = ParseMarkingDuplicateNames(text);
  if (!whole.is_object() || whole.contains(kDuplicateNameMark)) return std::nullopt;
  const auto version = whole.find("seq"), full = whole.find("whole"), hosts = whole.find("hosts");
  if (version == whole.end() || !version->is_number_unsigned()) return std::nullopt;
  if (full == whole.end() || !full->is_boolean()) return std::nullopt;
  if (hosts == whole.end() || !hosts->is_array()) return std::nullopt;
  UpdateBuilder builder;
  for (const json& entry : *hosts) builder.Add(entry);
  MemberListUpdate update = builder.Finish();
  update.version = version->get<std::uint64_t>();
  update.whole = full->get<bool>();
  return update;
}

void JsonNesting::Add(std::string_view bytes) {
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
