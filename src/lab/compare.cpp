#include "lab/compare.hpp"

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <stdexcept>

namespace meadowyard::lab {

Difference Paired(const std::vector<double>& first, const std::vector<double>& second) {
  if (first.size() != second.size() || first.size() < 2)
    throw std::invalid_argument("at least two pairs are needed");
  const auto n = static_cast<double>(first.size());
  Difference d;
  d.pairs = first.size();
  for (std::size_t i = 0; i < first.size(); ++i) d.mean += (second[i] - first[i]) / n;
  double squares = 0;
  for (std::size_t i = 0; i < first.size(); ++i) squares += std::pow(second[i] - first[i] - d.mean, 2);
  const double deviation = std::sqrt(squares / (n - 1));
  const boost::math::students_t distribution(n - 1);
  d.half_width =
      boost::math::quantile(boost::math::complement(distribution, 0.025)) * deviation / std::sqrt(n);
  return d;
}

}  // namespace meadowyard::lab
