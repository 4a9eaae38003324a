package io.laburnummoor.core.request;

/**
 * Service, version, adapter and seed that an answer keeps from its first attempt on. Output of another binding is never
 * appended to it.
 *
 * @param service name of the service
 * @param version upstream version that generates the answer
 * @param adapter name of the adapter, empty for none
 * @param seed sampling seed sent with every attempt
 */
public record Binding(String service, String version, String adapter, long seed) {}
