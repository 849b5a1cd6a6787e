package org.rowanvalve.server.options;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.model.ValidationError;

/** Tests the options of nodes that are configured with addresses only, without node names. */
class AddressOnlyOptionsTest {
    private static final String[] BASE = {
        "--wire",
        "10.0.0.9:7000",
        "--http",
        "10.0.0.9:7001",
        "--seeds",
        "10.0.0.1:80,10.0.0.2:80,10.0.0.3:80",
        "--seed-port",
        "7000",
        "--stores",
        "none"
    };
    private final List<ValidationError> faults = new ArrayList<>();

    private Options read(final Role role, final String... more) {
        faults.clear();
        return Options.read(
                role, Stream.concat(Arrays.stream(BASE), Arrays.stream(more)).toArray(String[]::new), faults);
    }

    private List<String> errorTexts() {
        return faults.stream().map(ValidationError::toString).toList();
    }

    @Test
    void nodesAndSeedsAreNamedByTheirAddress() {
        final Options options = read(Role.SHIELD, "--data", "d");
        assertEquals(List.of(), errorTexts());
        assertEquals(NodeId.of("n10-0-0-9"), options.id());
        assertEquals(
                Set.of(NodeId.of("n10-0-0-1"), NodeId.of("n10-0-0-2"), NodeId.of("n10-0-0-3")),
                options.seeds().keySet());
        assertEquals(new InetSocketAddress("10.0.0.1", 7000), options.seeds().get(NodeId.of("n10-0-0-1")));
        assertEquals(List.copyOf(options.seeds().keySet()), options.quorum().voters());
        assertEquals(Set.of(), options.quorum().stores());
        assertTrue(options.votersAreLearned() && options.firstBoot());
        assertEquals("n10-0-0-1@10.0.0.1:7000", options.founderAddresses().get(0));
    }

    @Test
    void seedKeepsItsPortIfNoSeedPortIsGiven() {
        final Options options = Options.read(
                Role.SHIELD,
                new String[] {
                    "--wire",
                    "10.0.0.9:7000",
                    "--http",
                    "10.0.0.9:7001",
                    "--data",
                    "d",
                    "--stores",
                    "none",
                    "--seeds",
                    "10.0.0.1:81,x@10.0.0.2:82"
                },
                faults);
        assertEquals(List.of(), errorTexts());
        assertEquals(new InetSocketAddress("10.0.0.1", 81), options.seeds().get(NodeId.of("n10-0-0-1")));
        assertEquals(new InetSocketAddress("10.0.0.2", 82), options.seeds().get(NodeId.of("x")));
    }

    @Test
    void shieldThatMayVoteNeedsADataDirectory() {
        assertNull(read(Role.SHIELD));
        assertEquals(List.of("/data: missing"), errorTexts());
        assertEquals(List.of(), read(Role.EDGE, "--door", "10.0.0.9:8080").locations());
    }

    @Test
    void moreLossesThanTheVotersTolerateAreAnError() {
        assertEquals(
                2, read(Role.SHIELD, "--data", "d", "--losses", "1").quorum().majority());
        read(Role.SHIELD, "--data", "d", "--losses", "2");
        assertEquals(List.of("/losses: 3 electors bear the loss of 1, not of 2"), errorTexts());
        final String five = "a@10.0.0.1:1,b@10.0.0.2:1,c@10.0.0.3:1,d@10.0.0.4:1,e@10.0.0.5:1";
        assertEquals(
                3,
                read(Role.SHIELD, "--data", "d", "--losses", "2", "--electors", five)
                        .quorum()
                        .majority());
        read(Role.SHIELD, "--data", "d", "--losses", "2", "--electors", five.substring(0, five.lastIndexOf(',')));
        assertEquals(
                List.of("/losses: 4 electors bear the loss of 1, not of 2"),
                errorTexts(),
                "an even number of voters tolerates no more losses than one voter less");
    }

    @Test
    void moreWantedLossesThanTheVotersTolerateAreAShortageButNoError() {
        assertEquals(
                "", read(Role.SHIELD, "--data", "d", "--wanted-losses", "1").voterShortage());
        assertEquals(
                "3 electors bear the loss of 1, not of 2",
                read(Role.SHIELD, "--data", "d", "--wanted-losses", "2").voterShortage());
        assertEquals(List.of(), errorTexts());
    }

    @Test
    void maxViewAgeIsThreeQuartersOfTheShortestTime() {
        assertEquals(1500, read(Role.SHIELD, "--data", "d").timings().maxViewAgeMs());
        assertEquals(
                750,
                read(Role.SHIELD, "--data", "d", "--purge-ms", "1000").timings().maxViewAgeMs());
        assertEquals(
                600,
                read(Role.SHIELD, "--data", "d", "--purge-ms", "1000", "--drain-ms", "800")
                        .timings()
                        .maxViewAgeMs());
        assertEquals(
                1500,
                read(Role.SHIELD, "--data", "d", "--apply-ms", "9000", "--purge-ms", "9000", "--drain-ms", "9000")
                        .timings()
                        .maxViewAgeMs());
        read(Role.SHIELD, "--data", "d", "--apply-ms", "399");
        assertEquals(List.of("/apply-ms: must be from 400 to 600000"), errorTexts());
    }

    @Test
    void stopTimeoutEndsBeforeTheGracePeriod() {
        assertEquals(8000, read(Role.SHIELD, "--data", "d").stopTimeoutMs());
        assertEquals(5250, read(Role.SHIELD, "--data", "d", "--grace-s", "6").stopTimeoutMs());
        assertEquals(500, read(Role.SHIELD, "--data", "d", "--grace-s", "1").stopTimeoutMs());
        assertEquals(26_250, read(Role.SHIELD, "--data", "d", "--grace-s", "30").stopTimeoutMs());
    }

    @Test
    void objectsAreFilledByRegionByDefault() {
        final String[] cells = {"--data", "d", "--cell", "r/b", "--cells", "r/a,r/b,q/c"};
        assertEquals(List.of("q/", "r/"), read(Role.SHIELD, cells).regions());
        final String[] more = Arrays.copyOf(cells, 8);
        more[6] = "--spread";
        more[7] = "zone";
        assertEquals(List.of("q/c", "r/a", "r/b"), read(Role.SHIELD, more).regions());
        more[7] = "none";
        assertEquals(List.of(), read(Role.SHIELD, more).regions());
        more[7] = "town";
        read(Role.SHIELD, more);
        assertEquals(List.of("/spread: region, zone or none"), errorTexts());
    }

    @Test
    void cellMustBeListedAndFacesMustBeAddresses() {
        read(Role.SHIELD, "--data", "d", "--cell", "r/z", "--cells", "r/a,r/b");
        assertEquals(List.of("/cell: r/z is not among the cells"), errorTexts());
        final Options options = read(
                Role.SHIELD,
                "--data",
                "d",
                "--cell",
                "r/b",
                "--cells",
                "r/a,r/b",
                "--faces",
                "one@10.0.0.9:90,two@10.0.0.9:91");
        assertEquals(
                new InetSocketAddress("10.0.0.9", 91),
                options.furtherAddresses().get("two"));
        read(Role.SHIELD, "--data", "d", "--faces", "one@host:90");
        assertEquals(List.of("/faces: IP:PORT is wanted, not host:90"), errorTexts());
        read(Role.SHIELD, "--data", "d", "--first", "maybe");
        assertEquals(List.of("/first: true or false is wanted here"), errorTexts());
        assertFalse(read(Role.SHIELD, "--data", "d", "--first", "false").firstBoot());
    }
}
