/// @file
/// Stores the open requests by id.
#ifndef MEADOWYARD_DECISION_REQUEST_TABLE_HPP_
#define MEADOWYARD_DECISION_REQUEST_TABLE_HPP_

#include <cstddef>
#include <string>
#include <unordered_map>

#include "decision/request_state.hpp"

namespace meadowyard::decision {

/// Owns the RequestStates. A request's address stays the same until it is erased.
class RequestTable {
 public:
  /// The request with this id, or null.
  RequestState* Find(const std::string& id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  [[nodiscard]] const RequestState* Find(const std::string& id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  /// Adds a request; its id must not be in the table yet.
  RequestState& Add(const std::string& id) {
    RequestState& request = requests_[id];
    request.id = id;
    return request;
  }
  /// Removes a request; `request` is a dangling reference afterwards.
  void Erase(const RequestState& request) {
    const std::string id = request.id;
    requests_.erase(id);
  }
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

 private:
  // Never iterated: the order of an unordered_map would make the actions depend on the standard library.
  std::unordered_map<std::string, RequestState> requests_;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_REQUEST_TABLE_HPP_
