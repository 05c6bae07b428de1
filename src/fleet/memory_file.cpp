#include "fleet/memory_file.h"

#include <fcntl.h>
#include <unistd.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <nlohmann/json.hpp>

#include "base/descriptor.h"

namespace indigosaddle::fleet {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxFileBytes = std::size_t{256} * 1024;

std::uint64_t Sum(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }

}  // namespace

VoterMemoryFile::VoterMemoryFile(const std::string& folder)
    : folder_(folder), path_(folder + "/fleet.memory") {}

std::string VoterMemoryFile::Serialize(const VoterMemory& memory) {
  json promised = json::array();
  for (const auto& [resource, ballot] : memory.promised)
    promised.push_back({resource, ballot.counter, ballot.proposer, ballot.start});
  const json body = {
      {"version", 1}, {"start", memory.start}, {"sure", memory.complete}, {"promised", promised}};
  return json{{"body", body}, {"sum", Sum(body.dump())}}.dump() + "\n";
}

bool VoterMemoryFile::Parse(std::string_view text, VoterMemory& memory) {
  try {
    const json whole = json::parse(text);
    const json& body = whole.at("body");
    if (whole.at("sum").get<std::uint64_t>() != Sum(body.dump()) || body.at("version") != 1) return false;
    VoterMemory read;
    read.start = body.at("start").get<std::uint64_t>();
    read.complete = body.at("sure").get<bool>();
    for (const json& one : body.at("promised")) {
      read.promised[one.at(0).get<std::string>()] = {
          one.at(1).get<std::uint64_t>(), one.at(2).get<std::string>(), one.at(3).get<std::uint64_t>()};
    }
    memory = std::move(read);
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

bool VoterMemoryFile::Read(VoterMemory& memory, std::string& error) const {
  error.clear();
  const base::Descriptor file(open(path_.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0) {
    if (errno != ENOENT) error = std::strerror(errno);
    return false;
  }
  std::string text;
  std::array<char, 4096> block{};
  for (ssize_t count = 0; text.size() <= kMaxFileBytes;
       text.append(block.data(), static_cast<std::size_t>(count))) {
    count = read(file.get(), block.data(), block.size());
    if (count < 0) error = std::strerror(errno);
    if (count <= 0) break;
  }
  if (error.empty() && Parse(text, memory)) return true;
  if (error.empty()) error = "is damaged";
  return false;
}

bool VoterMemoryFile::Write(const VoterMemory& memory) const {
  const std::string beside = path_ + ".new";
  {
    const base::Descriptor file(open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (file.get() < 0 || !base::WriteAll(file.get(), Serialize(memory)) || fdatasync(file.get()) != 0)
      return false;
  }
  if (std::rename(beside.c_str(), path_.c_str()) != 0) return false;
  const base::Descriptor folder(open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return folder.get() >= 0 && fsync(folder.get()) == 0;
}

}  // namespace indigosaddle::fleet
