/// @file
/// Deterministic subsetting: which endpoints each of several gateways uses.
///
/// Rendezvous hashing with bounded load. In the order of their ranks the gateways choose the endpoints that
/// the fewest before them have, and among those the ones that a hash of rank and endpoint ranks first. All
/// compute the same choice without asking each other; a gateway that joins at the end moves no other, and one
/// that takes over a rank takes over its endpoints.
///
/// Counting begins anew with each round of ranks in which every endpoint is due about once: so an endpoint
/// that comes or goes moves few choices, not those of all later ranks. Which endpoints are due once more than
/// others in a round rotates by the golden ratio. Costs endpoints times ranks.
#ifndef MEADOWYARD_DECISION_SUBSET_ASSIGNMENT_HPP_
#define MEADOWYARD_DECISION_SUBSET_ASSIGNMENT_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace meadowyard::decision {

class SubsetAssignment {
 public:
  struct Candidate {
    int group = 0;           ///< Every gateway gets its share of each group.
    std::uint64_t hash = 0;  ///< Of the endpoint's id.
  };

  /// `subset_size` endpoints for each gateway; all of them if there are fewer.
  SubsetAssignment(const std::vector<Candidate>& candidates, std::size_t subset_size);

  /// The choice of the next rank (0, 1, 2 ...), as indexes of candidates. Valid until the next call.
  const std::vector<std::size_t>& Next();

 private:
  struct Item {
    int group = 0;
    std::uint64_t hash = 0;
    double position = 0;     // within its group, from 0 to 1
    int times_chosen = 0;    // in this round, less what it is due more than others
    std::uint64_t rank = 0;  // for the gateway that chooses
    std::size_t index = 0;   // of the candidate
  };
  using Iterator = std::vector<Item>::iterator;

  void ForEachGroup(const std::function<void(Iterator first, Iterator last)>& visit);
  void BeginRound();
  void Choose(Iterator first, Iterator last, std::size_t wanted);

  std::vector<Item> items_;           // by group and hash
  const double share_;                // of all endpoints that each gateway uses
  const std::uint64_t round_length_;  // ranks
  std::uint64_t next_rank_ = 0;
  std::vector<std::size_t> chosen_;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_SUBSET_ASSIGNMENT_HPP_
