package io.laburnummoor.core.request;

/**
 * One generated token.
 *
 * @param id number of the token in the model's vocabulary
 * @param text text that this token adds to the answer
 */
public record Token(int id, String text) {}
