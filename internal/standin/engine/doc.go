// Package engine is a stand-in for a model engine with the engine protocol of docs/PROTOCOLS.md.
// It implements continuous batching with a priority queue, an LRU cache of prompt prefixes, load
// reports with a delay, cold starts and injected faults. The generated text is a function of the
// prompt, which lets a test verify a complete response.
package engine
