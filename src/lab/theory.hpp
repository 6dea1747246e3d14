// What queueing theory says of the time in the system, for open arrivals at rate `lambda` and service rate
// `mu` of one server (per ms both). Sources: Kleinrock, Queueing Systems I (1975), 3.2 and 3.5; Erlang's
// waiting times of M/D/1 as in Crommelin (1932).
#ifndef MEADOWYARD_LAB_THEORY_HPP_
#define MEADOWYARD_LAB_THEORY_HPP_

#include <cmath>
#include <functional>

namespace meadowyard::lab {

struct Sojourn {
  double mean = 0, p50 = 0, p99 = 0;
};

// The time by which a share has left, where `left(t)` is the chance to have left by t.
inline double Quantile(const std::function<double(double)>& left, double share, double scale) {
  double low = 0, high = scale;
  while (left(high) < share) high *= 2;
  for (int i = 0; i < 100; ++i) {
    const double middle = (low + high) / 2;
    (left(middle) < share ? low : high) = middle;
  }
  return high;
}

// M/M/c: the chance to wait is Erlang's C; who waits does so for an exponential time.
inline Sojourn MMc(int c, double lambda, double mu) {
  const double a = lambda / mu;
  double term = 1, sum = 1;
  for (int k = 1; k < c; ++k) sum += term *= a / k;
  const double last = term * a / c / (1 - a / c);
  const double waits = last / (sum + last);
  const double gap = c - 1 - a;
  const auto left = [=](double t) {
    const double tail = std::abs(gap) < 1e-9 ? mu * t : (1 - std::exp(-mu * gap * t)) / gap;
    return 1 - std::exp(-mu * t) * (1 + waits * tail);
  };
  return {1 / mu + waits / (c * mu - lambda), Quantile(left, 0.5, 1 / mu), Quantile(left, 0.99, 1 / mu)};
}

// M/D/1, service time d.
inline Sojourn MD1(double lambda, double d) {
  const double rho = lambda * d;
  const auto left = [=](double t) {
    if (t < d) return 0.0;
    const long double wait = t - d;
    long double sum = 0;
    for (int k = 0; k <= static_cast<int>(wait / d); ++k) {
      const long double x = lambda * (k * d - wait);  // not above 0
      sum += std::pow(x, static_cast<long double>(k)) *
             std::exp(-x - std::lgamma(static_cast<long double>(k + 1)));
    }
    return static_cast<double>((1 - rho) * sum);
  };
  return {d + rho * d / (2 * (1 - rho)), Quantile(left, 0.5, d), Quantile(left, 0.99, d)};
}

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_THEORY_HPP_
