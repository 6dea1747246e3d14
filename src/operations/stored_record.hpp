/// @file
/// Conversion of records to and from JSON: a table for each record type maps its JSON field names to its C++
/// members. Different versions of the program exchange this format, so the JSON names must never change; the
/// table keeps them independent of the members' names, which may change.
#ifndef MEADOWYARD_OPERATIONS_STORED_RECORD_HPP_
#define MEADOWYARD_OPERATIONS_STORED_RECORD_HPP_

#include <nlohmann/json.hpp>
#include <tuple>

namespace meadowyard::operations {

/// One field of a record: its JSON name, which must never change, and the member that holds its value.
template <typename Record, typename Value>
struct StoredField {
  const char* name;
  Value Record::*member;
};

/// The field table of a record type. Specialise it with `static constexpr std::tuple kFields`, which has one
/// StoredField for each field.
template <typename Record>
struct StoredForm;

/// A type for which StoredForm is specialised.
template <typename Record>
concept StoredRecord = requires {
  StoredForm<Record>::kFields;
};

}  // namespace meadowyard::operations

/// Converts every StoredRecord to and from JSON. Reading throws nlohmann::json::exception if a field is
/// missing or has another type; fields that are not in the table are ignored.
template <meadowyard::operations::StoredRecord Record>
struct nlohmann::adl_serializer<Record> {
  static void to_json(json& stored, const Record& record) {  // NOLINT(readability-identifier-naming): library
    stored = json::object();
    const auto write = [&](const auto& field) { stored[field.name] = record.*field.member; };
    std::apply([&](const auto&... field) { (write(field), ...); },
               meadowyard::operations::StoredForm<Record>::kFields);
  }
  static void from_json(const json& stored,
                        Record& record) {  // NOLINT(readability-identifier-naming): library
    const auto read = [&](const auto& field) { stored.at(field.name).get_to(record.*field.member); };
    std::apply([&](const auto&... field) { (read(field), ...); },
               meadowyard::operations::StoredForm<Record>::kFields);
  }
};

#endif  // MEADOWYARD_OPERATIONS_STORED_RECORD_HPP_
