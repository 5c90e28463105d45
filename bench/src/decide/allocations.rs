//! Global allocator that counts the allocations of each thread.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    static COUNT: Cell<u64> = const { Cell::new(0) };
}

/// System allocator with a count of allocations and reallocations per thread.
#[derive(Debug)]
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[expect(
    unsafe_code,
    reason = "a global allocator is an unsafe trait; calls are passed on unchanged"
)]
// SAFETY: each method passes its arguments on to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        record_allocation();
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }

    unsafe fn realloc(&self, ptr: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        record_allocation();
        // SAFETY: the caller keeps the contract of `realloc`.
        unsafe { System.realloc(ptr, layout, size) }
    }
}

fn record_allocation() {
    let _ignored = COUNT.try_with(|c| c.set(c.get() + 1));
}

/// Number of allocations and reallocations of the current thread so far.
pub fn count() -> u64 {
    COUNT.with(Cell::get)
}
