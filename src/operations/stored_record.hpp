/// @file
/// Records in their stored JSON form: a table for each record names its fields as they are stored. These
/// names are part of the format that two versions of the program share, so they stand apart from the names of
/// the C++ members, which may change.
#ifndef MEADOWYARD_OPERATIONS_STORED_RECORD_HPP_
#define MEADOWYARD_OPERATIONS_STORED_RECORD_HPP_

#include <nlohmann/json.hpp>
#include <tuple>

namespace meadowyard::operations {

/// One field of a record: the name in the stored form, which never changes, and the member that holds the
/// value.
template <typename Record, typename Value>
struct StoredField {
  const char* name;
  Value Record::*member;
};

/// The table of a record: specialise it with `static constexpr std::tuple kFields`, a StoredField for each
/// field.
template <typename Record>
struct StoredForm;

/// A type that StoredForm is specialised for.
template <typename Record>
concept StoredRecord = requires {
  StoredForm<Record>::kFields;
};

}  // namespace meadowyard::operations

/// Converts every StoredRecord to and from JSON. Reading throws nlohmann::json::exception if a field is
/// missing or of another type; fields that the table doesn't name are ignored.
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
