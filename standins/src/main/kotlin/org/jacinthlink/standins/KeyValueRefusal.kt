package org.jacinthlink.standins

/** A call that the key-value stand-in refuses with a gRPC status code. */
internal class KeyValueRefusal(val code: Int, message: String) : Exception(message)
