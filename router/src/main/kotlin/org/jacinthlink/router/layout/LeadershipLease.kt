package org.jacinthlink.router.layout

import org.jacinthlink.decision.watch.StorePosition
import org.jacinthlink.platform.store.StoreAnswer
import org.jacinthlink.platform.store.StoreClient
import org.jacinthlink.platform.store.StoreItem
import org.jacinthlink.platform.store.StorePut
import org.jacinthlink.platform.store.StoreTransaction
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.transport.EventLoop

/**
 * Store lease that makes one router the leader for [key].
 *
 * The fencing token is the position at which the store created the key, so each leader has a higher
 * token than its predecessor, also after the store has returned from a copy. Leases of a former era
 * may be gone or another router's, so a restoration ends the leadership, which continues with a new
 * token if the copy still has the key under this router's lease.
 */
internal class LeadershipLease(
    private val loop: EventLoop,
    private val store: StoreClient,
    private val log: DecisionLog,
    private val key: String,
    private val instance: String,
    private val ttlMs: Long
) {
    private var leaseId: Long? = null
    private var isTrying = false

    /** Token of the current leadership, or null while this router is not the leader. */
    var fencingToken: Long? = null
        private set

    init {
        store.onRestored(::onRestored)
    }

    /** Tries to become the leader, unless this router leads or an attempt is in progress. */
    fun tryAcquire() {
        if (isTrying || fencingToken != null) return
        isTrying = true
        val lease = leaseId
        if (lease != null) {
            claim(lease)
        } else {
            store.grantLease(ttlMs) { answer ->
                if (answer is StoreAnswer.Done) {
                    leaseId = answer.value.id
                    claim(answer.value.id)
                } else {
                    isTrying = false
                }
            }
        }
    }

    /**
     * Marks the leadership as lost, after an engine has received a higher token from another router
     * or the lease has expired.
     */
    fun markLost(cause: String) {
        if (fencingToken == null) return
        log.event("duty_lost", "key" to key, "token" to fencingToken, "cause" to cause)
        fencingToken = null
        leaseId = null
    }

    /** Ends the lease, so that another router can become the leader at once. */
    fun release() {
        val lease = leaseId ?: return
        if (fencingToken != null) log.event("duty_released", "key" to key, "token" to fencingToken)
        fencingToken = null
        leaseId = null
        store.revokeLease(lease) {}
    }

    private fun onRestored() {
        val formerLease = leaseId
        val hasLed = fencingToken != null
        markLost("store restored")
        leaseId = null
        if (hasLed && formerLease != null) resume(formerLease)
    }

    /** A lease that the copy knows with this router's key was granted before the copy was made. */
    private fun resume(lease: Long) {
        isTrying = true
        store.get(key) { answer ->
            isTrying = false
            if (answer is StoreAnswer.Done && answer.value.isOwn(lease)) {
                leaseId = lease
                onAcquired(lease, answer.value.createdAtRevision)
            }
        }
    }

    private fun claim(lease: Long) {
        val put = StorePut(key, instance.toByteArray(), lease)
        val transaction = StoreTransaction(mapOf(key to 0L), listOf(put))
        store.commit(transaction) { answer ->
            isTrying = false
            if (leaseId != lease) return@commit
            when (answer) {
                is StoreAnswer.Done -> onAcquired(lease, answer.value)
                is StoreAnswer.Conflict -> {
                    // The current value is this router's own if the answer to its write was lost.
                    val own = answer.current.firstOrNull { it.isOwn(lease) }
                    if (own != null) onAcquired(lease, own.createdAtRevision) else dropLease(lease)
                }
                StoreAnswer.Missing -> leaseId = null
                else -> Unit
            }
        }
    }

    private fun StoreItem.isOwn(lease: Long): Boolean =
        key == this@LeadershipLease.key &&
            leaseId == lease &&
            value.decodeToString() == instance

    private fun dropLease(lease: Long) {
        leaseId = null
        store.revokeLease(lease) {}
    }

    private fun onAcquired(lease: Long, createdAtRevision: Long) {
        val position = StorePosition(store.era, createdAtRevision)
        fencingToken = position.fencingToken
        log.event(
            "duty_taken",
            "key" to key,
            "token" to fencingToken,
            "era" to position.era,
            "revision" to position.revision,
            "ttl_ms" to ttlMs
        )
        renewLater(lease)
    }

    private fun renewLater(lease: Long) {
        loop.schedule(ttlMs / RENEWALS_PER_TTL) {
            if (leaseId == lease && fencingToken != null) renew(lease)
        }
    }

    private fun renew(lease: Long) {
        store.renewLease(lease) { answer ->
            when {
                leaseId != lease -> Unit
                answer is StoreAnswer.Missing -> markLost("lease ended")
                else -> renewLater(lease)
            }
        }
    }

    private companion object {
        const val RENEWALS_PER_TTL = 3
    }
}
