package org.rowanvalve.control.view;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.DigestRequest;
import org.rowanvalve.common.message.DigestResponse;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MissingItemsRequest;
import org.rowanvalve.common.message.MissingItemsResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.control.VirtualTimeLoop;
import org.rowanvalve.control.store.ItemDigest;
import org.rowanvalve.control.store.ItemStore;

/**
 * Tests the requests of a node with many items to a voter of this release, to a voter of an earlier release, and to a
 * voter whose response is invalid.
 */
class VoterQueryTest {
    private static final NodeId VOTER = NodeId.of("v");
    private static final int ITEMS = 2000;
    private static final int BUCKETS = 256;
    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final EventJournal journal = new EventJournal(loop, 10);
    private final ItemStore items = new ItemStore(loop, journal);
    private final List<Message> requests = new ArrayList<>();
    private final List<Long> confirmed = new ArrayList<>();
    private Function<DigestRequest, DigestResponse> voter = request -> new DigestResponse(true, List.of());

    private final VoterQuery query = new VoterQuery(
            VOTER,
            1,
            loop,
            (recipient, message, timeoutMs, callback) -> {
                requests.add(message);
                loop.schedule(5, () -> callback.accept(Reply.of(answer(message))));
            },
            items,
            new ViewWaitReport(loop, journal, items),
            new VoterQuery.Listener() {
                @Override
                public void onReply(final NodeId from, final Reply reply) {
                    assertEquals(VOTER, from);
                }

                @Override
                public void onItems(final NodeId from, final MissingItemsResponse response) {
                    assertEquals(VOTER, from);
                }

                @Override
                public void onConfirmed(final NodeId from, final long epoch, final long sentAt) {
                    confirmed.add(sentAt);
                }
            });

    private static Item item(final int number, final long version) {
        return new Item(new ItemId(ItemKind.ROUTE, "r" + number), new Version(version), "{}", false, "t");
    }

    private Message answer(final Message message) {
        return message instanceof DigestRequest request
                ? voter.apply(request)
                : new MissingItemsResponse(List.of(), true, List.of());
    }

    private Optional<MissingItemsRequest> firstItemsRequest() {
        return requests.stream()
                .filter(MissingItemsRequest.class::isInstance)
                .map(MissingItemsRequest.class::cast)
                .findFirst();
    }

    @BeforeEach
    void learnItems() {
        for (int i = 0; i < ITEMS; i++) {
            items.merge(new ChosenItem(new Ballot(1, "v"), item(i, 1)));
        }
    }

    @Test
    void onlyTheDifferingBucketIsRequestedFromAVoterOfThisRelease() {
        final ItemDigest voterDigest = new ItemDigest();
        for (int i = 0; i < ITEMS; i++) {
            voterDigest.replace(null, item(i, i == 77 ? 2 : 1));
        }
        voter = request -> new DigestResponse(false, voterDigest.bucketSums(request.bucketCount()));
        final long sentAt = loop.now();
        query.ask();
        loop.run(100);
        assertEquals(BUCKETS, ((DigestRequest) requests.get(0)).bucketCount());
        final MissingItemsRequest itemsRequest = firstItemsRequest().orElseThrow();
        assertEquals(BUCKETS, itemsRequest.bucketCount());
        assertEquals(List.of(ItemDigest.bucket(item(77, 1).id(), BUCKETS)), itemsRequest.buckets());
        assertTrue(itemsRequest.versions().containsKey(item(77, 1).id()));
        assertTrue(
                itemsRequest.versions().size() < ITEMS / 50,
                itemsRequest.versions().size() + " versions");
        assertEquals(List.of(sentAt), confirmed);
    }

    /**
     * Guards against bucket numbers that a voter of an earlier release would misinterpret: such a voter always uses 64
     * buckets.
     */
    @Test
    void sixtyFourBucketsAreUsedWithAVoterOfAnEarlierRelease() {
        voter = request -> new DigestResponse(
                false, Collections.nCopies(ItemDigest.BUCKETS, items.digest().total()));
        final long sentAt = loop.now();
        query.ask();
        loop.run(100);
        final MissingItemsRequest itemsRequest = firstItemsRequest().orElseThrow();
        assertNull(itemsRequest.bucketCount());
        assertTrue(itemsRequest.buckets().stream().allMatch(bucket -> bucket < ItemDigest.BUCKETS));
        assertEquals(List.of(sentAt), confirmed);
    }

    /** A response with an invalid number of buckets confirms nothing and does not prevent further requests. */
    @Test
    void aResponseWithAnInvalidNumberOfBucketsConfirmsNothing() {
        voter = request -> new DigestResponse(false, Collections.nCopies(63, 1L));
        query.ask();
        loop.run(100);
        assertTrue(firstItemsRequest().isEmpty());
        assertEquals(List.of(), confirmed);
        voter = request -> new DigestResponse(true, List.of());
        query.ask();
        loop.run(100);
        assertEquals(1, confirmed.size());
    }
}
