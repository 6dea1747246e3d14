#include "peers/beat.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace meadowyard {
namespace {

using nlohmann::json;

constexpr int kVersion = 1;
constexpr std::size_t kMostNames = 256;
constexpr std::size_t kMostText = 128;
constexpr Millis kMostAge = 1e9;

std::string Text(const json& value) {
  const auto& text = value.get_ref<const std::string&>();
  if (text.empty() || text.size() > kMostText) throw std::invalid_argument("text");
  return text;
}

std::vector<std::string> Texts(const json& list) {
  if (!list.is_array() || list.size() > kMostNames) throw std::invalid_argument("list");
  std::vector<std::string> all;
  for (const json& item : list) all.push_back(Text(item));
  return all;
}

std::uint64_t Whole(const json& value) {
  if (!value.is_number_unsigned()) throw std::invalid_argument("number");
  return value.get<std::uint64_t>();
}

}  // namespace

std::vector<std::uint8_t> ToBytes(const Beat& beat) {
  json started = json::array(), hears = json::array();
  for (const Beat::Echo& e : beat.hears) hears.push_back({e.name, e.life, e.number});
  for (const Beat::Start& s : beat.started) started.push_back({s.server, s.age});
  return json::to_cbor({{"v", kVersion},
                        {"from", beat.from},
                        {"life", beat.life},
                        {"n", beat.number},
                        {"list", beat.list},
                        {"listed", static_cast<std::uint64_t>(beat.listed)},
                        {"hears", hears},
                        {"started", started},
                        {"recovered", beat.recovered}});
}

std::optional<Beat> ParseBeat(const std::uint8_t* bytes, std::size_t size) {
  if (size > kMostBeat) return std::nullopt;
  try {  // a size beyond all memory throws even so
    const json all = json::from_cbor(bytes, bytes + size, true, false);
    if (!all.is_object()) return std::nullopt;
    if (Whole(all.at("v")) != kVersion) return std::nullopt;
    Beat beat;
    beat.from = Text(all.at("from"));
    beat.life = Whole(all.at("life"));
    beat.number = Whole(all.at("n"));
    beat.list = Whole(all.at("list"));
    const std::uint64_t listed = Whole(all.at("listed"));
    if (listed < 1 || listed > kMostNames) return std::nullopt;
    beat.listed = static_cast<int>(listed);
    const json& hears = all.at("hears");
    if (!hears.is_array() || hears.size() > kMostNames) return std::nullopt;
    for (const json& item : hears)
      beat.hears.push_back({Text(item.at(0)), Whole(item.at(1)), Whole(item.at(2))});
    beat.recovered = Texts(all.at("recovered"));
    const json& started = all.at("started");
    if (!started.is_array() || started.size() > kMostNames) return std::nullopt;
    for (const json& item : started) {
      const double age = item.at(1).get<double>();
      if (!(age >= 0 && age <= kMostAge)) return std::nullopt;
      beat.started.push_back({Text(item.at(0)), age});
    }
    return beat;
  } catch (const std::exception&) {  // a field is missing or of another kind
    return std::nullopt;
  }
}

}  // namespace meadowyard
