package org.bramleytrestle.serving

import com.github.michaelbull.result.getOrElse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonPrimitive
import org.bramleytrestle.store.StoreError
import org.bramleytrestle.store.StoreVersion

@OptIn(ExperimentalCoroutinesApi::class)
class CrashEvidenceStoreTest {
    private val clock = FakeClock()
    private val store = MemoryStore()
    private var lost = emptyList<CrashEvidence>()
    private var known = emptyList<CrashEvidence>()
    private val evidenceStore =
        CrashEvidenceStore(
            store,
            { known = it.sortedBy(CrashEvidence::request) },
            { lost = it.toList() },
            clock::now
        )

    private fun evidence(prompt: String, suspects: Set<String>, server: String) =
        CrashEvidence(prompt, suspects, setOf(server), true, clock.now().wallMillis)

    private suspend fun read() =
        evidenceStore.replace(store.list(CrashEvidenceStore.KIND).getOrElse { error("$it") })

    /** Guards against evidence that a concurrent write of another node replaces. */
    @Test
    fun `evidence of several nodes on one prompt is merged`() = runTest {
        evidenceStore.merge(evidence("p", setOf("f", "d"), "s1"))
        var others = 1
        store.beforeWrite = {
            if (others-- > 0) {
                val other = CrashEvidenceStore(store, {}, now = clock::now)
                launch { other.merge(evidence("p", setOf("f", "d"), "s3")) }
                testScheduler.runCurrent()
            }
        }
        evidenceStore.merge(evidence("p", setOf("d"), "s2"))
        read()
        val merged = evidence("p", setOf("d"), "s1").copy(servers = setOf("s1", "s2", "s3"))
        assertEquals(listOf(merged), known)
    }

    /** Guards against calls to the store that a copy of its objects makes needless. */
    @Test
    fun `evidence that is known is updated in one call, and not at all without a change`() =
        runTest {
            evidenceStore.merge(evidence("p", setOf("f", "d"), "s1"))
            read()
            store.calls = 0
            evidenceStore.merge(evidence("p", setOf("d"), "s1"))
            assertEquals(1, store.calls)
            evidenceStore.merge(evidence("p", setOf("d"), "s2"))
            read()
            assertEquals(setOf("s1", "s2"), known.single().servers)
            store.calls = 0
            evidenceStore.merge(evidence("p", setOf("d"), "s2"))
            assertEquals(0, store.calls)
        }

    /** Guards against evidence that is lost because the store was away for a moment. */
    @Test
    fun `evidence is stored once the store is back`() = runTest {
        store.failure = StoreError.UNAVAILABLE
        val writing = launch { evidenceStore.merge(evidence("p", setOf("d"), "s1")) }
        advanceTimeBy(3.seconds)
        store.failure = null
        writing.join()
        read()
        assertEquals(listOf("p"), known.map { it.request })
    }

    /** Guards against an object of another writer that hides the evidence of the nodes. */
    @Test
    fun `objects that cannot be read are ignored and expired evidence is deleted`() = runTest {
        store.put(CrashEvidenceStore.KIND, "odd", JsonPrimitive(17))
        evidenceStore.merge(evidence("old", setOf("d"), "s1"))
        clock.advance(RequestQuarantine.LIFETIME)
        clock.advance(1.seconds)
        evidenceStore.merge(evidence("new", setOf("d"), "s2"))
        read()
        assertEquals(listOf("new", "old"), known.map { it.request })
        evidenceStore.deleteExpired()
        read()
        assertEquals(listOf("new"), known.map { it.request })
    }

    /** Guards against a blocked prompt that reaches servers again because the store went back. */
    @Test
    fun `evidence that a restored store lacks is reported as lost`() = runTest {
        for (prompt in listOf("kept", "gone", "grown")) {
            evidenceStore.merge(evidence(prompt, setOf("d"), "s1"))
        }
        val older = store.objects.toMap()
        evidenceStore.merge(evidence("grown", setOf("d"), "s2"))
        read()
        assertEquals(emptyList(), lost)
        store.objects.clear()
        store.objects += older - "gone"
        val list = store.list(CrashEvidenceStore.KIND).getOrElse { error("$it") }
        evidenceStore.replace(list.copy(version = StoreVersion.of(1, list.version)))
        assertEquals(setOf("gone", "grown"), lost.mapTo(mutableSetOf()) { it.request })
        assertEquals(setOf("s1", "s2"), lost.single { it.request == "grown" }.servers)
    }
}
