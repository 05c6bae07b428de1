// Walks of the lease (lease_explorer.h) as it is built, and with each mutant.
#include "lease_explorer.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <string>

namespace indigosaddle::fleet {
namespace {

TEST(LeaseExplorer, NoInterleavingGivesTwoHoldersOrAnOldEpoch) {
  const char* wanted = std::getenv("LEASE_STATES");
  const std::size_t most = wanted != nullptr ? std::strtoull(wanted, nullptr, 10) : 60000;
  Explorer explorer(Mutant::kNone, 40, most);
  explorer.Run();
  std::cout << explorer.states << " states, depth " << explorer.deepest << "\n";
  EXPECT_EQ(explorer.broken, "");
  EXPECT_GE(explorer.states, most);
  EXPECT_EQ(explorer.held.size(), 2u);  // both got it in some
}

class Mutants : public ::testing::TestWithParam<Mutant> {};

TEST_P(Mutants, AreCaught) {
  Explorer explorer(GetParam(), 40, 400000);
  explorer.Run();
  std::cout << explorer.states << " states: " << explorer.broken << "\n";
  EXPECT_NE(explorer.broken, "");
}

std::string NameOfMutant(const ::testing::TestParamInfo<Mutant>& tested) {
  switch (tested.param) {
    case Mutant::kNone: return "None";
    case Mutant::kNoDrift: return "NoDrift";
    case Mutant::kNoSilence: return "NoSilence";
    case Mutant::kNoRounds: return "NoRounds";
    case Mutant::kReleaseFirst: return "ReleaseFirst";
    case Mutant::kForgets: return "Forgets";
  }
  return "?";
}

INSTANTIATE_TEST_SUITE_P(Lease, Mutants,
                         ::testing::Values(Mutant::kNoDrift, Mutant::kNoSilence, Mutant::kNoRounds,
                                           Mutant::kReleaseFirst, Mutant::kForgets),
                         NameOfMutant);

}  // namespace
}  // namespace indigosaddle::fleet
