package io.laburnummoor.core.version;

/**
 * One declaration with the text it was declared by.
 *
 * @param key kind and name, for example {@code organisation/front-desks}
 * @param text declaration as stored; it holds fields that this process does not understand
 * @param schemaVersion version of the format of the text
 * @param declaration {@link ServiceDeclaration}, {@link OrganisationDeclaration}, {@link VersionDeclaration} or
 *     {@link RolloutDeclaration}
 */
public record ConfigEntry(String key, String text, int schemaVersion, Object declaration) {}
