// The generations of the configuration that are saved, and what a start makes of them.
#include <algorithm>
#include <utility>

#include "config/transaction.h"

namespace indigosaddle::config {

std::string Numbered(std::uint64_t number) { return "generation " + std::to_string(number); }

const Generation* History::Find(std::uint64_t number) const {
  const auto it = std::find_if(generations.begin(), generations.end(),
                               [&](const Generation& g) { return g.number == number; });
  return it == generations.end() ? nullptr : &*it;
}

Generation* History::Find(std::uint64_t number) {
  return const_cast<Generation*>(std::as_const(*this).Find(number));
}

std::string_view NameOf(Result result) {
  switch (result) {
    case Result::kOnTrial: return "on trial";
    case Result::kKept: return "kept";
    case Result::kUndone: return "undone";
  }
  return "?";
}

History StartWith(History saved, const std::string& file, const std::string& file_hash, bool usable,
                  Micros now) {
  const bool seen = saved.kept != 0 && saved.seen_file == file_hash;
  if (!usable || seen) return saved;
  for (Generation& old : saved.generations) {
    if (old.result != Result::kOnTrial) continue;
    old.result = Result::kUndone;
    old.why = "superseded by another file at the start";
  }
  Generation first;
  first.number = saved.generations.empty() ? 1 : saved.generations.back().number + 1;
  first.author = "start";
  first.reason = "the file at the start";
  first.document = file;
  first.at = now;
  first.result = Result::kKept;
  first.why = "a start with another file is taken as it is";
  saved.kept = first.number;
  saved.on_trial = 0;
  saved.seen_file = file_hash;
  saved.generations.push_back(std::move(first));
  while (saved.generations.size() > kMostListed) saved.generations.pop_front();
  return saved;
}

}  // namespace indigosaddle::config
