// Bounds the bytes of responses that are held for all callers together.

#include "coordination/request/response_memory.h"

namespace auburnhaven::coordination {

ResponseMemory::Share::Share(ResponseMemory* aMemory)
  : memory_(aMemory)
{
  if (memory_ != nullptr) {
    const std::lock_guard lock(memory_->mutex_);
    memory_->shares_.insert(this);
  }
}

ResponseMemory::Share::~Share()
{
  if (memory_ != nullptr) {
    const std::lock_guard lock(memory_->mutex_);
    memory_->held_ -= givenUp_ ? 0 : bytes_;
    memory_->shares_.erase(this);
  }
}

bool
ResponseMemory::Share::hold(std::size_t aBytes)
{
  if (memory_ == nullptr) {
    return true;
  }
  const std::lock_guard lock(memory_->mutex_);
  if (!givenUp_) {
    memory_->held_ += aBytes - bytes_;
    bytes_ = aBytes;
    memory_->giveUpLargest();
  }
  return !givenUp_;
}

void
ResponseMemory::Share::complete()
{
  if (memory_ != nullptr) {
    const std::lock_guard lock(memory_->mutex_);
    complete_ = true;
  }
}

std::size_t
ResponseMemory::heldBytes() const
{
  const std::lock_guard lock(mutex_);
  return held_;
}

void
ResponseMemory::giveUpLargest()
{
  while (held_ > maxBytes_) {
    Share* largest = nullptr;
    for (Share* share : shares_) {
      const bool mayEnd = !share->complete_ && !share->givenUp_;
      if (mayEnd && (largest == nullptr || share->bytes_ > largest->bytes_)) {
        largest = share;
      }
    }
    if (largest == nullptr) {
      return;
    }
    largest->givenUp_ = true;
    held_ -= largest->bytes_;
  }
}

} // namespace auburnhaven::coordination
