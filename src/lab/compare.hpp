// Two files, or two builds, on the same seeds: the difference with a confidence interval.
#ifndef MEADOWYARD_LAB_COMPARE_HPP_
#define MEADOWYARD_LAB_COMPARE_HPP_

#include <string>
#include <vector>

namespace meadowyard::lab {

struct Difference {                 // of paired values, second less first
  double mean = 0, half_width = 0;  // 95%, by Student's t over the pairs
  std::size_t pairs = 0;
  // Zero lies outside of the interval.
  bool clear() const { return pairs > 1 && (mean > half_width || mean < -half_width); }
};
// At least two pairs, of two lists as long as each other.
Difference Paired(const std::vector<double>& first, const std::vector<double>& second);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_COMPARE_HPP_
