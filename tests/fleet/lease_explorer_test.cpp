// Explores the lease protocol (lease_explorer.h) as it is, and with each mutant.
//
//   LEASE_STATES=N  explores N states of the protocol as it is; the default is 60000
#include "lease_explorer.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <string>

namespace indigosaddle::fleet {
namespace {

TEST(LeaseExplorer, NoInterleavingGivesTwoHoldersOrAnOldEpoch) {
  const char* wanted = std::getenv("LEASE_STATES");
  const std::size_t max_states = wanted != nullptr ? std::strtoull(wanted, nullptr, 10) : 60000;
  Explorer explorer(Mutant::kNone, 40, max_states);
  explorer.Run();
  std::cout << explorer.states << " states, depth " << explorer.max_depth_reached << "\n";
  EXPECT_EQ(explorer.violation, "");
  EXPECT_GE(explorer.states, max_states);
  EXPECT_EQ(explorer.holders_seen.size(), 2u);  // each proposer held it in some state
}

class Mutants : public ::testing::TestWithParam<Mutant> {};

TEST_P(Mutants, AreCaught) {
  Explorer explorer(GetParam(), 40, 400000);
  explorer.Run();
  std::cout << explorer.states << " states: " << explorer.violation << "\n";
  EXPECT_NE(explorer.violation, "");
}

std::string NameOfMutant(const ::testing::TestParamInfo<Mutant>& tested) {
  switch (tested.param) {
    case Mutant::kNone: return "None";
    case Mutant::kNoDrift: return "NoDrift";
    case Mutant::kNoSilence: return "NoSilence";
    case Mutant::kNoRounds: return "NoRounds";
    case Mutant::kReleaseFirst: return "ReleaseFirst";
    case Mutant::kForgetPromises: return "Forgets";
  }
  return "?";
}

INSTANTIATE_TEST_SUITE_P(Lease, Mutants,
                         ::testing::Values(Mutant::kNoDrift, Mutant::kNoSilence, Mutant::kNoRounds,
                                           Mutant::kReleaseFirst, Mutant::kForgetPromises),
                         NameOfMutant);

}  // namespace
}  // namespace indigosaddle::fleet
