/// @file
/// Ownership of an open file descriptor.
#ifndef MEADOWYARD_OPERATIONS_DESCRIPTOR_HPP_
#define MEADOWYARD_OPERATIONS_DESCRIPTOR_HPP_

#include <utility>

namespace meadowyard::operations {

/// An open file descriptor, closed with its owner; empty once it was moved from or released.
class Descriptor {
 public:
  Descriptor() = default;
  /// Takes ownership of `fd`; a negative value makes an empty one.
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
  /// The descriptor, which stays owned; -1 if empty.
  [[nodiscard]] int get() const { return fd_; }
  /// Hands the descriptor over to the caller; -1 if empty.
  [[nodiscard]] int release() { return std::exchange(fd_, -1); }

 private:
  int fd_ = -1;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_DESCRIPTOR_HPP_
