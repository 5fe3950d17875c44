/**
 * KServe v2 ("Open Inference Protocol") over HTTP/JSON: paths, the headers that carry what the protocol lacks, and the
 * small bodies that the router itself reads or writes. Tensors are never read here. Source: the published KServe v2
 * inference protocol and its model repository extension; the headers are ours, tabled in docs/protocol.md.
 */
package pearladder.kserve;
