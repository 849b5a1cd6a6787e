package org.rowanvalve.common.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class HostNameTest {
    @Test
    void hostsAreTheSameInAnyCaseAndWithAnyPort() {
        assertEquals("shop.example", HostName.normalize("Shop.EXAMPLE:8080"));
        assertEquals("shop.example", HostName.normalize("shop.example"));
        assertEquals("", HostName.normalize(""));
        assertEquals("[::1]", HostName.normalize("[::1]:80"));
        assertEquals("[::1]", HostName.normalize("[::1]"));
    }
}
