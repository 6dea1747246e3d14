#include "membership/heartbeat_codec.hpp"

#include <nlohmann/json.hpp>
#include <string>

#include "coordination/cbor_reader.hpp"
#include "coordination/message_codec.hpp"
#include "meadowyard/error.hpp"

namespace meadowyard::membership {
namespace {

using coordination::CborValue;
using nlohmann::json;

constexpr std::uint64_t kFormatVersion = 1;
constexpr std::size_t kMaxListEntries = 256;  // of each list; also the maximum of the `listed` field
constexpr std::size_t kMaxTextBytes = 128;
constexpr double kMaxNumber = 1e9;  // maximum of ages in ms, and of counts and rates in a zone load report

// Keys of the CBOR map. They are part of the wire format and don't follow the names of the C++ fields.
constexpr const char* kVersionKey = "v";
constexpr const char* kSenderKey = "from";
constexpr const char* kIncarnationKey = "life";
constexpr const char* kSequenceKey = "n";
constexpr const char* kListHashKey = "list";
constexpr const char* kConfiguredKey = "listed";
constexpr const char* kAcknowledgementsKey = "hears";  // [[member, incarnation, sequence], ...]
constexpr const char* kStartedKey = "started";         // [[endpoint, age], ...]
constexpr const char* kRecoveredKey = "recovered";     // [endpoint, ...]
// Zone load report: a message has all three keys or none of them.
constexpr const char* kZoneKey = "zone";
constexpr const char* kArrivalRateKey = "arriving";
constexpr const char* kZonesKey = "zones";  // [[zone, capacity, available, completed, within_objective], ...]

json EncodeAcknowledgements(const std::vector<Heartbeat::Acknowledgement>& acknowledgements) {
  json list = json::array();
  for (const Heartbeat::Acknowledgement& entry : acknowledgements) {
    list.push_back({entry.member, entry.incarnation, entry.sequence});
  }
  return list;
}

json EncodeStarted(const std::vector<Heartbeat::EndpointStart>& started) {
  json list = json::array();
  for (const Heartbeat::EndpointStart& entry : started) list.push_back({entry.endpoint, entry.age});
  return list;
}

json EncodeZones(const std::vector<ZoneLoad>& zones) {
  json list = json::array();
  for (const ZoneLoad& entry : zones) {
    if (list.size() == coordination::kMaxZones) break;
    list.push_back({entry.zone, entry.capacity, entry.available, entry.completed, entry.within_objective});
  }
  return list;
}

std::string ReadName(const CborValue& value) { return value.Text(1, kMaxTextBytes); }
// The name is empty for a gateway or endpoint without a zone.
std::string ReadZoneName(const CborValue& value) { return value.Text(0, kMaxTextBytes); }
double ReadNumber(const CborValue& value) { return value.Number(0, kMaxNumber); }

std::vector<Heartbeat::Acknowledgement> DecodeAcknowledgements(const CborValue& list) {
  std::vector<Heartbeat::Acknowledgement> acknowledgements;
  for (const CborValue& item : list.Elements(kMaxListEntries)) {
    acknowledgements.push_back({.member = ReadName(item.Element(0)),
                                .incarnation = item.Element(1).Unsigned(),
                                .sequence = item.Element(2).Unsigned()});
  }
  return acknowledgements;
}

std::vector<Heartbeat::EndpointStart> DecodeStarted(const CborValue& list) {
  std::vector<Heartbeat::EndpointStart> started;
  for (const CborValue& item : list.Elements(kMaxListEntries)) {
    started.push_back({.endpoint = ReadName(item.Element(0)), .age = ReadNumber(item.Element(1))});
  }
  return started;
}

ZoneLoadReport DecodeZoneLoad(const CborValue& message) {
  ZoneLoadReport report;
  report.zone = ReadZoneName(message.Field(kZoneKey));
  report.arrival_rate = ReadNumber(message.Field(kArrivalRateKey));
  for (const CborValue& item : message.Field(kZonesKey).Elements(coordination::kMaxZones)) {
    report.zones.push_back({.zone = ReadZoneName(item.Element(0)),
                            .capacity = ReadNumber(item.Element(1)),
                            .available = ReadNumber(item.Element(2)),
                            .completed = ReadNumber(item.Element(3)),
                            .within_objective = ReadNumber(item.Element(4))});
  }
  return report;
}

// Throws ProtocolError if a field is missing, of another type or out of range.
Heartbeat Decode(const CborValue& message) {
  if (message.Field(kVersionKey).Unsigned() != kFormatVersion) throw ProtocolError("unknown version");
  Heartbeat heartbeat;
  heartbeat.sender = ReadName(message.Field(kSenderKey));
  heartbeat.incarnation = message.Field(kIncarnationKey).Unsigned();
  heartbeat.sequence = message.Field(kSequenceKey).Unsigned();
  heartbeat.list_hash = message.Field(kListHashKey).Unsigned();
  heartbeat.configured = static_cast<int>(message.Field(kConfiguredKey).Integer(1, kMaxListEntries));
  heartbeat.acknowledgements = DecodeAcknowledgements(message.Field(kAcknowledgementsKey));
  heartbeat.started = DecodeStarted(message.Field(kStartedKey));
  for (const CborValue& item : message.Field(kRecoveredKey).Elements(kMaxListEntries)) {
    heartbeat.recovered.push_back(ReadName(item));
  }
  if (message.Has(kZoneKey)) heartbeat.zone_load = DecodeZoneLoad(message);
  return heartbeat;
}

}  // namespace

std::vector<std::uint8_t> EncodeHeartbeat(const Heartbeat& heartbeat) {
  json message = {{kVersionKey, kFormatVersion},
                  {kSenderKey, heartbeat.sender},
                  {kIncarnationKey, heartbeat.incarnation},
                  {kSequenceKey, heartbeat.sequence},
                  {kListHashKey, heartbeat.list_hash},
                  {kConfiguredKey, static_cast<std::uint64_t>(heartbeat.configured)},
                  {kAcknowledgementsKey, EncodeAcknowledgements(heartbeat.acknowledgements)},
                  {kStartedKey, EncodeStarted(heartbeat.started)},
                  {kRecoveredKey, heartbeat.recovered}};
  if (heartbeat.zone_load) {
    message[kZoneKey] = heartbeat.zone_load->zone;
    message[kArrivalRateKey] = heartbeat.zone_load->arrival_rate;
    message[kZonesKey] = EncodeZones(heartbeat.zone_load->zones);
  }
  return json::to_cbor(message);
}

std::optional<Heartbeat> DecodeHeartbeat(std::span<const std::uint8_t> datagram) {
  try {
    const json message = coordination::DecodeCborMap(datagram, kMaxHeartbeatBytes);
    return Decode(CborValue(message, "heartbeat"));
  } catch (const ProtocolError&) {
    return std::nullopt;
  }
}

}  // namespace meadowyard::membership
