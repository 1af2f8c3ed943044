/// Framing of records: torn, damaged and foreign bytes are distinguished from records.
#include "common/record_framing.hpp"

#include <string>
#include <string_view>
#include <vector>

#include "simulated_system.hpp"
#include "unit.hpp"

using chutevane::common::frame_record;
using chutevane::common::parse_frames;

TEST_GROUP(RecordFraming){};

// Parsing any prefix of a file yields exactly the records that the prefix has completely.
TEST(RecordFraming, CutAtEveryByte) {
  const std::vector<std::string> all = {"", "a", std::string(40, 'b'), "cc"};
  std::string file;
  std::vector<std::size_t> ends;
  for (const std::string& one : all) {
    file += frame_record(one, 5);
    ends.push_back(file.size());
  }
  for (std::size_t cut = 0; cut <= file.size(); ++cut) {
    std::size_t complete = 0;
    while (complete < ends.size() && ends[complete] <= cut) ++complete;
    const auto [got, size] = parse_frames(std::string_view(file).substr(0, cut), 5);
    CHECK_EQUAL(complete, got.size());
    for (std::size_t i = 0; i < got.size(); ++i) CHECK_TRUE(got[i] == all[i]);
    CHECK_EQUAL(complete > 0 ? ends[complete - 1] : 0, size);
  }
}

TEST(RecordFraming, AnotherSaltReadsNothing) {
  CHECK_TRUE(parse_frames(frame_record("record", 5), 6).records.empty());
}

TEST(RecordFraming, ZerosAndNoiseAreNoRecords) {
  CHECK_TRUE(parse_frames(std::string(4096, '\0'), 7).records.empty());
  chutevane::simulated::RandomSource random(3);
  for (int n = 0; n < 2000; ++n) {
    std::string noise(random.below(200), '\0');
    for (char& c : noise) c = static_cast<char>(random.next());
    CHECK_TRUE(parse_frames(noise, 7).records.empty());
  }
}
