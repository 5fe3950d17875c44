/**
 * KServe v2 ("Open Inference Protocol") over HTTP/JSON: paths, the bodies that hold no tensors, the headers that
 * carry what the protocol lacks, and the messages of the discovery service. Tensors are never read here.
 *
 * <p>Source: the published KServe v2 inference protocol and its model repository extension. The headers are this
 * project's own; docs/protocol.md has a table of them.
 */
package pearladder.kserve;
