#pragma once

#include <malloc.h>

namespace hickorymount::app {

/// Blocks from this size on are mapped one by one, and returned to the system when they are freed.
inline constexpr int mapped_block_bytes = 128 << 10;

/// Keeps freed memory of long messages from staying resident. By default, glibc raises the size from which it
/// maps blocks with the first freed one, and keeps later ones in its arenas.
inline void return_large_blocks()
{
    ::mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    ::mallopt(M_TRIM_THRESHOLD, mapped_block_bytes);
}

} // namespace hickorymount::app
