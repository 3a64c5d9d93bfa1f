/// Feeds a decoder with kept inputs and with mutants of them. The inputs depend
/// on the seed alone, so that a run that found a fault finds it again.
///
/// A folder of testsuite/corpus holds the kept inputs of one decoder; an input
/// that showed a fault is added to it. The input in progress stands in the file
/// DECODER.input of the working directory, for the case that the process ends.
///
///   build/platform/platform_corpus_test -- 1000000 7   (inputs, seed)
#ifndef TREFOILMILL_LIBTMWIRE_CORPUS_REPLAY_TEST_H_
#define TREFOILMILL_LIBTMWIRE_CORPUS_REPLAY_TEST_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "input_mutator_test.h"
#include "trefoilmill/verdict.h"
#include "trefoilmill/wire/settings_file.h"

namespace trefoilmill {

/// What a decoder made of an input, for comparison.
template <class value>
struct decoding {
  std::optional<value> made;
  std::string error;
  friend bool operator==(const decoding&, const decoding&) = default;
};

/// A decoder refuses bytes from outside in one way: with `expected` and a
/// sentence, and certain that nothing ran.
template <class value>
decoding<value> DecodingOf(const result<value>& decoded,
                           reason_code expected = reason_code::kBadRequest) {
  if (decoded.has_value()) {
    return {.made = decoded.value(), .error = ""};
  }
  BOOST_REQUIRE(decoded.error().reason == expected);
  BOOST_REQUIRE(decoded.error().outcome == verdict::kNotRun);
  BOOST_REQUIRE(!decoded.error().detail.empty());
  return {.made = std::nullopt, .error = decoded.error().detail};
}

struct kept_input {
  std::string name;
  std::string bytes;
};

/// The kept inputs in the order of their names.
inline std::vector<kept_input> ReadCorpus(const std::string& decoder) {
  std::vector<kept_input> inputs;
  for (const auto& file : std::filesystem::directory_iterator(
           std::filesystem::path(TREFOILMILL_CORPUS) / decoder)) {
    inputs.push_back({.name = file.path().filename().string(),
                      .bytes = ReadTextFile(file.path().string()).value()});
  }
  std::ranges::sort(inputs, {}, &kept_input::name);
  return inputs;
}

/// Keeps the input in progress in a file. The file stays open: closing it after
/// a truncation would wait for the disk.
class input_record {
 public:
  explicit input_record(std::string path)
      : path_(std::move(path)), file_(path_, std::ios::binary) {}

  void Keep(const std::string& input) {
    file_.seekp(0);
    file_ << input << std::flush;
    std::filesystem::resize_file(path_, input.size());
  }

 private:
  std::string path_;
  std::ofstream file_;
};

/// A number after "--" on the command line.
inline std::uint64_t ArgumentOr(int index, std::uint64_t missing) {
  const auto& suite = boost::unit_test::framework::master_test_suite();
  return index < suite.argc ? std::stoull(suite.argv[index]) : missing;
}

/// Calls `decode`, which returns a decoding, twice with each input: it must
/// return the same both times, and throw nothing. A kept input whose name
/// begins with "good" must be accepted, so that the corpus follows the format.
template <class decoder>
void ReplayCorpus(const std::string& name, const decoder& decode) {
  constexpr std::uint64_t kInputs = 20'000;
  constexpr std::uint64_t kSeed = 20;
  const std::vector<kept_input> corpus = ReadCorpus(name);
  BOOST_REQUIRE(!corpus.empty());
  input_record record(name + ".input");
  const auto check = [&](const std::string& input) {
    record.Keep(input);
    const auto decoded = decode(input);
    const bool same = decode(input) == decoded;
    BOOST_REQUIRE_MESSAGE(same, "decoded differently the second time");
    return decoded.made.has_value();
  };
  for (const kept_input& kept : corpus) {
    const bool accepted = check(kept.bytes);
    BOOST_REQUIRE_MESSAGE(accepted || !kept.name.starts_with("good"),
                          kept.name + " is refused");
  }
  input_mutator mutants(ArgumentOr(2, kSeed));
  const auto any = [&]() -> const std::string& {
    return corpus[mutants.Pick(corpus.size() - 1)].bytes;
  };
  for (std::uint64_t left = ArgumentOr(1, kInputs); left > 0; --left) {
    const std::string& first = any();
    const std::string& second = any();
    const bool spliced = mutants.Pick(3) == 0;
    check(mutants.Mutate(spliced ? mutants.Splice(first, second) : first));
  }
}

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMWIRE_CORPUS_REPLAY_TEST_H_
