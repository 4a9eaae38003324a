package io.laburnummoor.core.version;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against a non-idempotent call that is classified as idempotent and so could run twice. */
final class IdempotencyClassifierTest {
    private static final ServiceDeclaration SERVICE = new ServiceDeclaration(
            "despacho-app", ServiceDeclaration.Kind.PLAIN, "", List.of("/parts", "/parts/order", "!/parts/reserve"));

    @ParameterizedTest
    @CsvSource({
        "POST, /parts, true",
        "POST, /parts/7, true",
        "POST, /partsorders, false",
        "POST, /parts/reserve, false",
        "GET, /parts/reserve/7, false",
        "GET, /parts/reserved, true",
        "GET, /confirmations, true",
        "HEAD, /confirmations, true",
        "PUT, /confirmations, false",
        "DELETE, /confirmations, false",
        "OPTIONS, /confirmations, false",
    })
    void onlySafeMethodsAndDeclaredRoutesAreIdempotent(String method, String path, boolean expected) {
        assertThat(IdempotencyClassifier.isIdempotent(SERVICE, method, path), is(expected));
    }
}
