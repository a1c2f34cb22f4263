package org.jacinthlink.router.state

import org.jacinthlink.platform.store.StoreItem

/** Reads [items] as a complete listing of the store. */
internal fun ServerRegistry.readAll(items: List<StoreItem>) =
    onSnapshot(items.mapNotNull(::decode))
