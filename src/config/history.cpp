// The saved generations of the configuration, and which of them a process starts with.
#include <algorithm>
#include <utility>

#include "config/transaction.h"

namespace indigosaddle::config {

std::string GenerationLabel(std::uint64_t number) { return "generation " + std::to_string(number); }

const Generation* History::Find(std::uint64_t number) const {
  const auto it = std::find_if(generations.begin(), generations.end(),
                               [&](const Generation& generation) { return generation.number == number; });
  return it == generations.end() ? nullptr : &*it;
}

Generation* History::Find(std::uint64_t number) {
  return const_cast<Generation*>(std::as_const(*this).Find(number));
}

std::string_view NameOf(GenerationResult result) {
  switch (result) {
    case GenerationResult::kOnTrial: return "on trial";
    case GenerationResult::kKept: return "kept";
    case GenerationResult::kUndone: return "undone";
  }
  return "?";
}

History HistoryAtStart(History saved, const std::string& file, const std::string& file_hash, bool usable,
                       Micros now) {
  const bool seen = saved.kept != 0 && saved.seen_file == file_hash;
  if (!usable || seen) return saved;
  for (Generation& old : saved.generations) {
    if (old.result != GenerationResult::kOnTrial) continue;
    old.result = GenerationResult::kUndone;
    old.result_reason = "superseded by another file at the start";
  }
  Generation first;
  first.number = saved.generations.empty() ? 1 : saved.generations.back().number + 1;
  first.author = "start";
  first.reason = "the file at the start";
  first.document = file;
  first.staged_at = now;
  first.result = GenerationResult::kKept;
  first.result_reason = "a start with another file is taken as it is";
  saved.kept = first.number;
  saved.on_trial = 0;
  saved.seen_file = file_hash;
  saved.generations.push_back(std::move(first));
  while (saved.generations.size() > kMaxGenerations) saved.generations.pop_front();
  return saved;
}

}  // namespace indigosaddle::config
