// Malformed input to the decoder: the error names the line, the field and what was expected.
#include <gtest/gtest.h>

#include <sstream>

#include "wire/codec.h"

namespace indigosaddle::wire {
namespace {

std::vector<Batch> DecodeAll(const std::string& text, std::string* notes = nullptr) {
  std::istringstream in(text);
  std::ostringstream out;
  Decoder decoder(in, out);
  std::vector<Batch> batches;
  while (auto batch = decoder.Next()) batches.push_back(std::move(*batch));
  if (notes != nullptr) *notes = out.str();
  return batches;
}

template <typename T>
T Only(const std::string& line) {
  const auto batches = DecodeAll("turn moment=1.5\n" + line + "\neob\n");
  return std::get<T>(batches.at(0).events.at(0).body);
}

struct BadCase {
  const char* text;
  const char* expected_error;
};

class BadInput : public ::testing::TestWithParam<BadCase> {};

TEST_P(BadInput, NamesTheLineTheFieldAndWhatWasExpected) {
  try {
    DecodeAll(GetParam().text);
    FAIL() << "accepted: " << GetParam().text;
  } catch (const WireError& error) {
    EXPECT_STREQ(error.what(), GetParam().expected_error);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Malformed, BadInput,
    ::testing::Values(
        BadCase{"hello\n", "batch line 1: field 'hello': expected a turn line"},
        BadCase{"turn\neob\n", "batch line 1: field 'moment': expected a value"},
        BadCase{"turn moment=nan\neob\n", "batch line 1: field 'moment': expected a finite number"},
        BadCase{"turn moment=inf\neob\n", "batch line 1: field 'moment': expected a finite number"},
        BadCase{"turn moment=1e300\neob\n",
                "batch line 1: field 'moment': expected milliseconds within 1e14"},
        BadCase{"turn moment=1\n",
                "batch line 2: field 'eob': expected the end of the batch, not the end of input"},
        BadCase{"turn moment=1\n\neob\n", "batch line 2: field '': expected an event name"},
        BadCase{"turn moment=1\nturn moment=2\neob\n",
                "batch line 2: field 'turn': expected an event or eob"},
        BadCase{"turn moment=1\nkill\neob\n", "batch line 2: field 'nodeId': expected a value"},
        BadCase{"turn moment=1\nkill nodeId=x\neob\n", "batch line 2: field 'nodeId': expected an integer"},
        BadCase{"turn moment=1\nkill nodeId=1 junk\neob\n",
                "batch line 2: field 'junk': expected name=value"},
        BadCase{"turn moment=1\nlapsed nodeId=1 opId=-4\neob\n",
                "batch line 2: field 'opId': expected a whole number from 0 up"},
        BadCase{"turn moment=1\ninbound nodeId=1 opId=4 giveUpAt=1 toDest=1.5\neob\n",
                "batch line 2: field 'toDest': expected a whole number from 0 up"},
        BadCase{"turn moment=1\ninbound nodeId=1 opId=4 giveUpAt=1 toDest=1 tierClass=-1\neob\n",
                "batch line 2: field 'tierClass': expected an index from 0 up"},
        BadCase{"turn moment=1\nsettled nodeId=1 opId=4 go=0 endpoint=e status=7\neob\n",
                "batch line 2: field 'status': expected a completion code"},
        BadCase{"turn moment=1\nsettled nodeId=1 opId=4 go=0 endpoint=e status=200 gauge=x0\neob\n",
                "batch line 2: field 'gauge': expected name:value pairs"},
        BadCase{"turn moment=1\nsettled nodeId=1 opId=4 go=0 endpoint=e status=200 gauge=x0:nan\neob\n",
                "batch line 2: field 'gauge': expected finite numbers in name:value pairs"},
        BadCase{"turn moment=1\nsettled nodeId=1 opId=4 go=0 endpoint=e status=200 last=2\neob\n",
                "batch line 2: field 'last': expected true, false, 1 or 0"},
        BadCase{"turn moment=1\nannounce nodeId=1 mode=full epoch=1 bank=3\neob\n",
                "batch line 2: field 'bank': expected the number of a registered list"},
        BadCase{"turn moment=1\nregister bank=16 items=0\neob\n",
                "batch line 2: field 'bank': expected 0 to 15"},
        BadCase{"turn moment=1\nregister bank=0 items=2\nrow endpoint=a destination=1 state=ready\neob\n",
                "batch line 4: field 'eob': expected a row, as items says"},
        BadCase{"turn moment=1\nregister bank=0 items=1\nrow endpoint=a destination=1 state=odd\neob\n",
                "batch line 3: field 'state': expected ready, draining or gone"},
        BadCase{"turn moment=1\nconfigure nodeId=1 classes.count=99999999\neob\n",
                "batch line 2: field 'classes.count': expected at most 10000 items"},
        BadCase{"turn moment=1\nconfigure nodeId=1 discovery=guessed\neob\n",
                "batch line 2: field 'discovery': expected pushed or on_request"}));

}  // namespace
}  // namespace indigosaddle::wire
