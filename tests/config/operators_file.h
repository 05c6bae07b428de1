// A complete and valid operator's file for tests, an edited copy of it, and the faults of such a file.
#pragma once

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "config/layers.h"
#include "node/config.h"

namespace indigosaddle::config {

inline const std::string kOperatorsToml = R"([node]
name = "n1"
listen = "127.0.0.1:0"
discovery = "127.0.0.1:8500"
state = "/tmp"

[delivery]
call_slots = 8
holding_room = 100
zone = "b"

[[classes]]
name = "notice"
effect = "keyed"
key_ttl = "20s"
aim = "2500ms"
deadline = "20s"

[[kinds]]
name = "shop"
[[kinds]]
name = "mall"
separate_routes = true

[[zones]]
name = "a"
[[zones]]
name = "b"
fee = 0.5
)";

// kOperatorsToml with the first `from` replaced by `to`. A test fails if `from` is not in it.
inline std::string Edited(const std::string& from, const std::string& to) {
  std::string text = kOperatorsToml;
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

// All faults of an operator's file without other sources, a line each; empty: it is valid.
inline std::string FaultsOf(const std::string& text) {
  try {
    node::MakeConfig({{true, "f.toml", text}, {}, {}});
    return "";
  } catch (const node::ConfigError& error) {
    return error.what();
  }
}

}  // namespace indigosaddle::config
