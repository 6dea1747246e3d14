// Bounds-checked reading of CBOR: no datagram may make the reader exceed its limits, or return a value of
// another type or out of range.
#include "coordination/cbor_reader.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "meadowyard/error.hpp"

namespace meadowyard::testing {
namespace {

using coordination::CborValue;
using coordination::DecodeCborMap;
using nlohmann::json;

TEST(DecodeCborMap, WellFormedMap_IsDecoded) {
  const json map = {{"a", 1}, {"b", {1, 2}}};
  EXPECT_EQ(DecodeCborMap(json::to_cbor(map), 100), map);
}

TEST(DecodeCborMap, AnythingElse_ThrowsProtocolError) {
  const auto bytes = json::to_cbor({{"a", 1}});
  auto trailing = bytes;
  trailing.push_back(0);
  auto truncated = bytes;
  truncated.pop_back();
  const std::vector<std::uint8_t> huge_length = {0xbb, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff};
  EXPECT_THROW((void)DecodeCborMap(bytes, bytes.size() - 1), ProtocolError);
  EXPECT_THROW((void)DecodeCborMap(trailing, 100), ProtocolError);
  EXPECT_THROW((void)DecodeCborMap(truncated, 100), ProtocolError);
  EXPECT_THROW((void)DecodeCborMap(huge_length, 100), ProtocolError);
  EXPECT_THROW((void)DecodeCborMap({}, 100), ProtocolError);
  EXPECT_THROW((void)DecodeCborMap(json::to_cbor(json::array({1})), 100), ProtocolError);
}

TEST(CborValue, Field_HasToExist) {
  const json map = {{"a", 1u}};
  const CborValue value(map, "message");
  EXPECT_TRUE(value.Has("a"));
  EXPECT_FALSE(value.Has("b"));
  EXPECT_EQ(value.Field("a").Unsigned(), 1u);
  EXPECT_THROW((void)value.Field("b"), ProtocolError);
  EXPECT_THROW((void)value.Field("a").Field("b"), ProtocolError);
}

TEST(CborValue, Text_IsLimitedInSize) {
  const json text = "abc";
  const CborValue value(text, "name");
  EXPECT_EQ(value.Text(3, 3), "abc");
  EXPECT_THROW((void)value.Text(4, 9), ProtocolError);
  EXPECT_THROW((void)value.Text(0, 2), ProtocolError);
  const json number = 1;
  EXPECT_THROW((void)CborValue(number, "name").Text(0, 9), ProtocolError);
}

TEST(CborValue, Unsigned_IsLimited) {
  const json small = 7u;
  EXPECT_EQ(CborValue(small, "n").Unsigned(7), 7u);
  EXPECT_THROW((void)CborValue(small, "n").Unsigned(6), ProtocolError);
  const json largest = std::numeric_limits<std::uint64_t>::max();
  EXPECT_EQ(CborValue(largest, "n").Unsigned(), std::numeric_limits<std::uint64_t>::max());
  const json negative = -1;
  EXPECT_THROW((void)CborValue(negative, "n").Unsigned(), ProtocolError);
  const json fraction = 1.0;
  EXPECT_THROW((void)CborValue(fraction, "n").Unsigned(), ProtocolError);
}

TEST(CborValue, Integer_IsLimited) {
  const json negative = -3;
  EXPECT_EQ(CborValue(negative, "n").Integer(), -3);
  EXPECT_THROW((void)CborValue(negative, "n").Integer(-2, 2), ProtocolError);
  const json positive = 3u;
  EXPECT_EQ(CborValue(positive, "n").Integer(-3, 3), 3);
  const json too_large = std::numeric_limits<std::uint64_t>::max();
  EXPECT_THROW((void)CborValue(too_large, "n").Integer(), ProtocolError);
}

TEST(CborValue, Number_IsLimitedAndNeverNaN) {
  const json integer = 2;
  EXPECT_EQ(CborValue(integer, "n").Number(0, 2), 2);
  const json fraction = 0.25;
  EXPECT_EQ(CborValue(fraction, "n").Number(0, 1), 0.25);
  EXPECT_THROW((void)CborValue(fraction, "n").Number(0.5, 1), ProtocolError);
  const json nan = std::nan("");
  EXPECT_THROW((void)CborValue(nan, "n").Number(0, 1), ProtocolError);
  const json boolean = true;
  EXPECT_THROW((void)CborValue(boolean, "n").Number(0, 1), ProtocolError);
}

TEST(CborValue, Elements_AreLimitedInCount) {
  const json array = {1u, 2u};
  const CborValue value(array, "list");
  ASSERT_EQ(value.Elements(2).size(), 2u);
  EXPECT_EQ(value.Elements(2)[1].Unsigned(), 2u);
  EXPECT_EQ(value.Element(0).Unsigned(), 1u);
  EXPECT_THROW((void)value.Elements(1), ProtocolError);
  EXPECT_THROW((void)value.Element(2), ProtocolError);
  const json map = json::object();
  EXPECT_THROW((void)CborValue(map, "list").Elements(9), ProtocolError);
}

TEST(CborValue, Error_NamesTheField) {
  const json map = {{"count", "many"}};
  try {
    (void)CborValue(map, "message").Field("count").Unsigned();
    FAIL() << "no exception";
  } catch (const ProtocolError& error) {
    EXPECT_EQ(std::string(error.what()).rfind("count: ", 0), 0u) << error.what();
  }
}

}  // namespace
}  // namespace meadowyard::testing
