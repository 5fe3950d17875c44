/**
 * KServe v2 ("Open Inference Protocol") over HTTP/JSON: paths, bodies without tensors, headers that extend the
 * protocol, and the messages of the discovery service. Tensors are never parsed here.
 *
 * <p>Source: the published KServe v2 inference protocol and its model repository extension. The headers are specific
 * to this project; docs/protocol.md has a table of them.
 */
package pearladder.kserve;
