#include "coordination/message_codec.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace meadowyard::coordination {
namespace {

using nlohmann::json;

constexpr int kWireVersion = 1;
constexpr std::size_t kMaxNameLength = 128;                       // bytes; of a gateway or a zone
constexpr std::uint32_t kMaxParts = 1000;                         // of one endpoint list
const std::array<std::string, 2> kRoleNames = {"list", "zones"};  // by LeaseRole

std::uint64_t ReadUnsigned(const json& value, std::uint64_t max = ~0ull) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max)
    throw std::invalid_argument("not an unsigned integer in range");
  return value.get<std::uint64_t>();
}

std::int64_t ReadInteger(const json& value) {
  if (!value.is_number_integer()) throw std::invalid_argument("not an integer");
  return value.get<std::int64_t>();
}

json ToJson(const Lease::Message& content) {
  return {{"lease", static_cast<std::uint64_t>(content.type)},
          {"token", content.token},
          {"seen", content.highest_promised},
          {"holder", content.owner}};
}
json ToJson(const EndpointListPart& list_part) {
  discovery::EndpointList list{list_part.revision, list_part.complete, list_part.hosts};
  return {{"list", list_part.revision},
          {"token", list_part.token},
          {"after", list_part.base_revision},
          {"part", list_part.part},
          {"parts", list_part.parts},
          {"hosts", list_part.parts > 0 ? discovery::SerializeEndpointList(list) : ""}};
}
json ToJson(const EndpointListRequest& content) { return {{"wanted", true}, {"token", content.token}}; }
json ToJson(const ZoneStateAnnouncement& content) {
  json zones = json::array();
  for (const ZoneAgreement::Zone& zone : content.state.zones)
    zones.push_back({zone.name, zone.health, zone.capacity, zone.demand});
  return {{"stand", static_cast<std::uint64_t>(content.kind)},
          {"token", content.token},
          {"term", content.state.term},
          {"version", content.state.version},
          {"zones", zones}};
}
json ToJson(const ZoneStateVote& vote) { return {{"vote", vote.version}, {"token", vote.token}}; }

double ReadNumber(const json& value, double max) {
  const double result = value.get<double>();
  if (!(result >= 0 && result <= max)) throw std::invalid_argument("not a number in range");
  return result;
}

ZoneStateAnnouncement ReadZoneState(const json& fields) {
  ZoneStateAnnouncement content{static_cast<ZoneStateAnnouncement::Kind>(ReadUnsigned(fields.at("stand"), 2)),
                                ReadUnsigned(fields.at("token")),
                                {ReadUnsigned(fields.at("term")), ReadUnsigned(fields.at("version")), {}}};
  const json& zones = fields.at("zones");
  if (!zones.is_array() || zones.size() > kMaxZones) throw std::invalid_argument("zones");
  for (const json& zone : zones) {
    const auto& name = zone.at(0).get_ref<const std::string&>();
    if (name.size() > kMaxNameLength) throw std::invalid_argument("zone");
    content.state.zones.push_back(
        {name, ReadNumber(zone.at(1), 1), ReadNumber(zone.at(2), 1e9), ReadNumber(zone.at(3), 1e9)});
  }
  return content;
}

CoordinationMessage ReadMessage(const json& fields) {
  const FencingToken token = ReadUnsigned(fields.at("token"));
  if (fields.contains("lease")) {
    const std::int64_t holder = ReadInteger(fields.at("holder"));
    if (holder < -1 || holder > 255) throw std::invalid_argument("holder");
    return Lease::Message{static_cast<Lease::Message::Type>(ReadUnsigned(fields.at("lease"), 4)), token,
                          ReadUnsigned(fields.at("seen")), static_cast<int>(holder)};
  }
  if (fields.contains("wanted")) return EndpointListRequest{token};
  if (fields.contains("stand")) return ReadZoneState(fields);
  if (fields.contains("vote")) return ZoneStateVote{token, ReadUnsigned(fields.at("vote"))};
  EndpointListPart part;
  part.token = token;
  part.revision = ReadInteger(fields.at("list"));
  part.base_revision = ReadInteger(fields.at("after"));
  part.parts = static_cast<std::uint32_t>(ReadUnsigned(fields.at("parts"), kMaxParts));
  part.part = static_cast<std::uint32_t>(ReadUnsigned(fields.at("part"), kMaxParts));
  if (part.parts == 0) return part;
  auto list = discovery::ParseEndpointList(fields.at("hosts").get_ref<const std::string&>());
  if (!list || part.part >= part.parts || list->revision != part.revision)
    throw std::invalid_argument("hosts");
  part.complete = list->is_snapshot;
  part.hosts = std::move(list->endpoints);
  return part;
}

}  // namespace

std::vector<std::uint8_t> ToBytes(const std::string& from, LeaseRole role,
                                  const CoordinationMessage& payload) {
  json fields = std::visit([](const auto& content) { return ToJson(content); }, payload);
  fields["v"] = kWireVersion;
  fields["from"] = from;
  fields["duty"] = kRoleNames[static_cast<std::size_t>(role)];
  return json::to_cbor(fields);
}

std::optional<ReceivedMessage> DecodeMessage(const std::uint8_t* bytes, std::size_t size) {
  if (size > kMaxMessageSize) return std::nullopt;
  try {
    const json fields = json::from_cbor(bytes, bytes + size, true, false);
    if (!fields.is_object() || ReadUnsigned(fields.at("v")) != kWireVersion) return std::nullopt;
    const auto role_name = std::find(kRoleNames.begin(), kRoleNames.end(), fields.value("duty", ""));
    if (role_name == kRoleNames.end()) return std::nullopt;
    ReceivedMessage result;
    result.role = static_cast<LeaseRole>(role_name - kRoleNames.begin());
    result.sender = fields.at("from").get_ref<const std::string&>();
    if (result.sender.empty() || result.sender.size() > kMaxNameLength) return std::nullopt;
    result.message = ReadMessage(fields);
    return result;
  } catch (const std::exception&) {  // a field is missing, of another type or out of range
    return std::nullopt;
  }
}

}  // namespace meadowyard::coordination
