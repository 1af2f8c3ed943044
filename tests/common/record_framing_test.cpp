/// Framing of records: torn, damaged and foreign bytes are told from records.
#include "common/record_framing.hpp"

#include <string>
#include <string_view>
#include <vector>

#include "simulated_system.hpp"
#include "unit.hpp"

using chutevane::common::frame_record;
using chutevane::common::parse_frames;

TEST_GROUP(RecordFraming){};

// However a file of frames is cut, what is read is a beginning of what was written.
TEST(RecordFraming, CutAtEveryByte) {
  const std::vector<std::string> all = {"", "a", std::string(40, 'b'), "cc"};
  std::string file;
  std::vector<std::size_t> ends;
  for (const std::string& one : all) {
    file += frame_record(one, 5);
    ends.push_back(file.size());
  }
  for (std::size_t cut = 0; cut <= file.size(); ++cut) {
    std::size_t whole = 0;
    while (whole < ends.size() && ends[whole] <= cut) ++whole;
    const auto [got, size] = parse_frames(std::string_view(file).substr(0, cut), 5);
    CHECK_EQUAL(whole, got.size());
    for (std::size_t i = 0; i < got.size(); ++i) CHECK_TRUE(got[i] == all[i]);
    CHECK_EQUAL(whole > 0 ? ends[whole - 1] : 0, size);
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
