// The name=value fields of one line of the simulator's protocol, with checked conversions.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "brain.h"

namespace indigosaddle::wire {

// The fields of one line. Holds views into the line, which must outlive it. All conversions throw WireError
// on a value of the wrong form; those without `absent` also where the field is missing or empty.
class Fields {
 public:
  // Splits the text that follows the line's name. Throws WireError where a part is not name=value.
  Fields(std::string_view rest, int line);

  // The field's text as it stands, or nullopt if the field is missing.
  std::optional<std::string_view> Find(std::string_view name) const;
  // The field's text, which may not be empty.
  std::string_view Text(std::string_view name) const;
  std::int64_t Integer(std::string_view name) const;
  std::int64_t Integer(std::string_view name, std::int64_t absent) const;
  std::uint64_t Unsigned(std::string_view name) const;
  std::uint64_t Unsigned(std::string_view name, std::uint64_t absent) const;
  double Number(std::string_view name, double absent) const;
  bool Flag(std::string_view name, bool absent) const;
  // Written in milliseconds.
  Micros Time(std::string_view name) const;
  Micros Time(std::string_view name, Micros absent) const;
  // Values separated by commas; empty if the field is missing.
  std::vector<double> Numbers(std::string_view name) const;
  std::vector<bool> Flags(std::string_view name) const;

  // Throws WireError for this line.
  [[noreturn]] void Reject(std::string_view name, std::string_view expected) const;
  // The line's number within its batch.
  int line() const { return line_; }

 private:
  // Convert `text`, a value of the field `name`.
  double ToNumber(std::string_view name, std::string_view text) const;
  bool ToFlag(std::string_view name, std::string_view text) const;

  std::vector<std::pair<std::string_view, std::string_view>> parts_;  // sorted by name
  int line_;
};

// Splits the text at each separator. A separator at the end adds no empty piece.
std::vector<std::string_view> Split(std::string_view text, char separator);

}  // namespace indigosaddle::wire
