/// @file
/// Deterministic subsetting: which endpoints each of several gateways uses.
///
/// Rendezvous hashing with bounded load. In the order of the gateways' ranks, each rank chooses the endpoints
/// that the fewest lower ranks have chosen, and among those the endpoints with the lowest hash of rank and
/// endpoint. All gateways compute the same assignment without communication. A gateway that joins with the
/// highest rank changes no other subset, and a gateway that takes over a rank takes over its endpoints.
///
/// The counts of choices are reset after each round, which is a number of ranks in which every endpoint is
/// chosen about once. Therefore adding or removing an endpoint changes few choices, not those of all higher
/// ranks. If the number of choices in a round is not a multiple of the number of endpoints, some endpoints
/// are chosen once more than others; which ones rotates from round to round by the golden ratio. The cost of
/// an assignment is proportional to endpoints times ranks.
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
    int group = 0;           ///< Every gateway gets its share of the endpoints of each group.
    std::uint64_t hash = 0;  ///< Hash of the endpoint's id.
  };

  /// `subset_size`: number of endpoints for each gateway. If there are fewer, each gateway gets all of them.
  SubsetAssignment(const std::vector<Candidate>& candidates, std::size_t subset_size);

  /// Chooses the subset of the next rank (0, 1, 2 ...). Returns indexes into the candidates of the
  /// constructor. The reference is valid until the next call.
  const std::vector<std::size_t>& ChooseNextSubset();

 private:
  struct CandidateState {
    int group = 0;
    std::uint64_t hash = 0;
    double position = 0;   // within its group in the order of the hashes, from 0 to 1
    int times_chosen = 0;  // in this round; starts at -1 for an endpoint that is due one extra choice
    std::uint64_t preference_hash = 0;  // rendezvous hash with the choosing rank; the lowest is chosen first
    std::size_t index = 0;              // in the constructor's candidates
  };
  using Iterator = std::vector<CandidateState>::iterator;

  // Calls `visit` with the range of each group.
  void ForEachGroup(const std::function<void(Iterator first, Iterator last)>& visit);
  // Resets the counts of choices.
  void BeginRound();
  // Appends `choice_count` candidates of a group to the subset of the next rank.
  void Choose(Iterator first, Iterator last, std::size_t choice_count);

  std::vector<CandidateState> states_;  // sorted by group and hash
  const double subset_share_;           // share of all endpoints that each gateway uses
  const std::uint64_t ranks_per_round_;
  std::uint64_t next_rank_ = 0;
  std::vector<std::size_t> subset_;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_SUBSET_ASSIGNMENT_HPP_
