/// @file
/// The open requests, by id.
#ifndef MEADOWYARD_DECISION_REQUEST_TABLE_HPP_
#define MEADOWYARD_DECISION_REQUEST_TABLE_HPP_

#include <cstddef>
#include <string>
#include <unordered_map>

#include "decision/request_state.hpp"

namespace meadowyard::decision {

class RequestTable {
 public:
  /// The request of this id, or null.
  RequestState* Find(const std::string& id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  [[nodiscard]] const RequestState* Find(const std::string& id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  /// A new request; its id must not be in the table.
  RequestState& Add(const std::string& id) {
    RequestState& request = requests_[id];
    request.id = id;
    return request;
  }
  /// `request` is gone afterwards.
  void Erase(const RequestState& request) {
    const std::string id = request.id;
    requests_.erase(id);
  }
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

 private:
  std::unordered_map<std::string, RequestState> requests_;  // looked up, never iterated
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_REQUEST_TABLE_HPP_
