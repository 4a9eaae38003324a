package io.laburnummoor.core.request;

/**
 * What an answer is bound to from its first attempt on: output of another binding is never joined to it.
 *
 * @param service name of the service
 * @param version upstream version that generates the answer
 * @param adapter name of the adapter, empty for none
 * @param seed sampling seed sent with every attempt
 */
public record Binding(String service, String version, String adapter, long seed) {}
