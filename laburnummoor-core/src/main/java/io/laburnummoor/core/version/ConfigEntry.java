package io.laburnummoor.core.version;

/**
 * One declaration together with its source text.
 *
 * @param key kind and name, for example {@code organisation/front-desks}
 * @param text declaration as stored, including fields that this process does not know
 * @param schemaVersion format version of the text
 * @param declaration {@link ServiceDeclaration}, {@link OrganisationDeclaration}, {@link VersionDeclaration} or
 *     {@link RolloutDeclaration}
 */
public record ConfigEntry(String key, String text, int schemaVersion, Object declaration) {}
