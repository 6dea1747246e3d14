/// @file
/// Ownership of an open file descriptor.
#ifndef MEADOWYARD_OPERATIONS_DESCRIPTOR_HPP_
#define MEADOWYARD_OPERATIONS_DESCRIPTOR_HPP_

#include <utility>

namespace meadowyard::operations {

/// Owns an open file descriptor and closes it on destruction. Empty after a move from it or release().
class Descriptor {
 public:
  Descriptor() = default;
  /// Takes ownership of `fd`; a negative value means empty.
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor();

  explicit operator bool() const { return fd_ >= 0; }
  /// The descriptor, without a transfer of ownership; -1 if empty.
  [[nodiscard]] int get() const { return fd_; }
  /// Transfers ownership of the descriptor to the caller; -1 if empty.
  [[nodiscard]] int release() { return std::exchange(fd_, -1); }

 private:
  int fd_ = -1;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_DESCRIPTOR_HPP_
