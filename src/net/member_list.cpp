#include "net/member_list.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "net/address.h"

namespace indigosaddle::net {
namespace {

using nlohmann::json;

std::string Text(const json& entry, const char* name) {
  const auto it = entry.find(name);
  return it != entry.end() && it->is_string() ? it->get<std::string>() : std::string();
}

// Empty where the entry is good, else what is wrong with it.
std::string ReadMember(const json& entry, Member& member) {
  if (!entry.is_object()) return "not an object";
  member.host = Text(entry, "host");
  member.dial = Text(entry, "dial");
  member.site = Text(entry, "site");
  member.kind = Text(entry, "class");
  if (member.host.empty()) return "no host";
  const auto visible = [](unsigned char c) { return c > ' ' && c < 0x7f; };  // it goes on as a header's value
  if (!std::all_of(member.host.begin(), member.host.end(), visible))
    return "a host that is not visible ASCII";
  const auto block = entry.find("block");
  if (block == entry.end() || !block->is_number_integer() || (!block->is_number_unsigned() && *block < 0)) {
    return "no block";
  }
  member.block = block->get<std::uint64_t>();
  const auto share = entry.find("share");
  if (share != entry.end() && share->is_number()) member.share = std::max(0.0, share->get<double>());
  const std::string health = Text(entry, "health");
  if (health == "Ready") {
    member.health = Health::kReady;
  } else if (health == "Terminating") {
    member.health = Health::kTerminating;
  } else if (health == "Gone") {
    member.health = Health::kGone;
  } else {
    return "unknown health";
  }
  sockaddr_storage address{};
  if (member.health != Health::kGone && !ParseAddress(member.dial, address)) return "no address to dial";
  return {};
}

}  // namespace

std::optional<MemberNews> ParseMembers(std::string_view text) {
  const json whole = json::parse(text, nullptr, false);
  if (!whole.is_object()) return std::nullopt;
  const auto version = whole.find("seq"), full = whole.find("whole"), hosts = whole.find("hosts");
  if (version == whole.end() || !version->is_number_unsigned()) return std::nullopt;
  if (full == whole.end() || !full->is_boolean()) return std::nullopt;
  if (hosts == whole.end() || !hosts->is_array()) return std::nullopt;
  MemberNews news;
  news.version = version->get<std::uint64_t>();
  news.whole = full->get<bool>();
  std::set<std::string> seen;
  for (const json& entry : *hosts) {
    Member member;
    std::string trouble = ReadMember(entry, member);
    if (trouble.empty() && !seen.insert(member.host).second) {
      // Named twice: where the two differ, the careful reading holds.
      trouble = "named twice";
      for (Member& first : news.members) {
        if (first.host == member.host) first.health = std::max(first.health, member.health);
      }
    }
    if (trouble.empty()) {
      news.members.push_back(std::move(member));
    } else {
      news.skipped.push_back(fmt::format("{}: {}", member.host.empty() ? "an entry" : member.host, trouble));
    }
  }
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
